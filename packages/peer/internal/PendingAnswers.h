// Keeps the calls served for peers until other threads have answered them.
#pragma once

#include "base/Result.h"
#include "peer/internal/Mailbox.h"
#include "protocol/Messages.h"

#include <cstdint>
#include <kj/async.h>
#include <memory>
#include <unordered_map>

namespace magnoliamill::peer::internal {

class AnswerRelay;

/// Other threads refer to calls by number, so that KJ objects stay on the peer
/// thread. Used on that thread only; the functions that it returns may be
/// called from any thread.
class PendingAnswers {
public:
  explicit PendingAnswers(std::shared_ptr<Mailbox> inbox)
      : Inbox(std::move(inbox)) {}

  /// A reply function and the promise that it fulfils. Destroying the promise
  /// removes the call.
  template <typename T> struct PendingReply {
    protocol::Reply<T> Reply;
    kj::Promise<kj::Own<base::Result<T>>> Promise;
  };
  template <typename T> PendingReply<T> addReply();

  /// Registers a forwarded request until remove() is called; returns the number
  /// by which makeSink refers to it.
  std::uint64_t add(AnswerRelay &relay);
  void remove(std::uint64_t id) { Relays.erase(id); }
  protocol::AnswerSink makeSink(std::uint64_t id);

private:
  template <typename T> struct ReplyFulfiller {
    kj::Own<kj::PromiseFulfiller<kj::Own<base::Result<T>>>> Fulfiller;
  };
  template <typename T> void answer(std::uint64_t id, base::Result<T> result);

  std::shared_ptr<Mailbox> Inbox;
  std::uint64_t LastId = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<void>> PendingReplies;
  std::unordered_map<std::uint64_t, AnswerRelay *> Relays;
};

template <typename T>
PendingAnswers::PendingReply<T> PendingAnswers::addReply() {
  auto paf = kj::newPromiseAndFulfiller<kj::Own<base::Result<T>>>();
  std::uint64_t id = ++LastId;
  PendingReplies[id] = std::make_shared<ReplyFulfiller<T>>(
      ReplyFulfiller<T>{kj::mv(paf.fulfiller)});
  auto reply = [this, id, inbox = Inbox](base::Result<T> result) {
    inbox->postAnswer([this, id, result = std::move(result)]() mutable {
      answer<T>(id, std::move(result));
    });
  };
  return {std::move(reply), paf.promise.attach(kj::defer(
                                [this, id] { PendingReplies.erase(id); }))};
}

template <typename T>
void PendingAnswers::answer(std::uint64_t id, base::Result<T> result) {
  auto it = PendingReplies.find(id);
  if (it == PendingReplies.end())
    return;
  auto pending = std::static_pointer_cast<ReplyFulfiller<T>>(it->second);
  pending->Fulfiller->fulfill(kj::heap(std::move(result)));
}

} // namespace magnoliamill::peer::internal

// Where calls served for peers wait for their answers from other threads.
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

/// Only numbers cross threads, so that KJ objects stay on the peer thread. Used
/// on that thread only; the hooks that it hands out work on any.
class AnswerDesk {
public:
  explicit AnswerDesk(std::shared_ptr<Mailbox> posts)
      : Posts(std::move(posts)) {}

  /// A reply hook and the promise that it fulfils. Dropping the promise forgets
  /// the call.
  template <typename T> struct Ticket {
    protocol::Reply<T> Reply;
    kj::Promise<kj::Own<base::Result<T>>> Promise;
  };
  template <typename T> Ticket<T> openTicket();

  /// Registers a forwarded request; its hooks find it by the number while it is
  /// there.
  std::uint64_t add(AnswerRelay &relay);
  void remove(std::uint64_t id) { Relays.erase(id); }
  protocol::AnswerSink makeSink(std::uint64_t id);

private:
  template <typename T> struct Waiting {
    kj::Own<kj::PromiseFulfiller<kj::Own<base::Result<T>>>> Fulfiller;
  };
  template <typename T> void answer(std::uint64_t id, base::Result<T> result);

  std::shared_ptr<Mailbox> Posts;
  std::uint64_t LastId = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<void>> Tickets;
  std::unordered_map<std::uint64_t, AnswerRelay *> Relays;
};

template <typename T> AnswerDesk::Ticket<T> AnswerDesk::openTicket() {
  auto paf = kj::newPromiseAndFulfiller<kj::Own<base::Result<T>>>();
  std::uint64_t id = ++LastId;
  Tickets[id] = std::make_shared<Waiting<T>>(Waiting<T>{kj::mv(paf.fulfiller)});
  auto reply = [this, id, posts = Posts](base::Result<T> result) {
    posts->postAnswer([this, id, result = std::move(result)]() mutable {
      answer<T>(id, std::move(result));
    });
  };
  return {std::move(reply),
          paf.promise.attach(kj::defer([this, id] { Tickets.erase(id); }))};
}

template <typename T>
void AnswerDesk::answer(std::uint64_t id, base::Result<T> result) {
  auto it = Tickets.find(id);
  if (it == Tickets.end())
    return;
  auto waiting = std::static_pointer_cast<Waiting<T>>(it->second);
  waiting->Fulfiller->fulfill(kj::heap(std::move(result)));
}

} // namespace magnoliamill::peer::internal

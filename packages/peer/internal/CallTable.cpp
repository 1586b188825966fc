// Implements the ways in which calls end.
#include "peer/internal/CallTable.h"

#include "base/Log.h"
#include "peer/internal/PeerMetrics.h"

#include <kj/debug.h>

namespace magnoliamill::peer::internal {
namespace {

using base::ResultCode;

// Maps an exception of the RPC system to the error of a call that was sent.
base::Error describeFault(const kj::Exception &exception) {
  std::string text = exception.getDescription().cStr();
  switch (exception.getType()) {
  case kj::Exception::Type::DISCONNECTED:
    return {ResultCode::PeerTimeout, "link lost: " + text};
  case kj::Exception::Type::OVERLOADED:
    return {ResultCode::PeerRefused, text};
  default:
    return {ResultCode::PeerProtocol, text};
  }
}

} // namespace

std::uint64_t CallTable::add(FailHook fail) {
  metrics().Calls.Increment();
  std::uint64_t id = ++LastId;
  Calls.emplace(id, Call{std::move(fail), {}});
  return id;
}

void CallTable::start(std::uint64_t id, kj::Promise<void> work,
                      std::optional<base::Duration> limit) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  Calls.at(id).Stop = kj::mv(paf.fulfiller);
  auto guarded = work.catch_([this, id](kj::Exception &&exception) {
    fail(id, CallFault::Link, describeFault(exception));
  });
  if (limit)
    guarded = guarded.exclusiveJoin(
        Context.Timer.afterDelay(toKjDuration(*limit)).then([this, id] {
          metrics().Timeouts.Increment();
          fail(id, CallFault::TimeLimit,
               {ResultCode::PeerTimeout, "the call timed out"});
        }));
  Tasks.add(guarded.exclusiveJoin(kj::mv(paf.promise)));
}

void CallTable::endCall(std::uint64_t id) {
  auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  // Fulfilled, not dropped: a dropped fulfiller would reject.
  it->second.Stop->fulfill();
  Calls.erase(it);
}

void CallTable::fail(std::uint64_t id, CallFault fault, base::Error error) {
  auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  auto hook = std::move(it->second.Fail);
  endCall(id);
  hook(fault, std::move(error));
}

void CallTable::failAll(const base::Error &error) {
  metrics().CallsLost.Increment(static_cast<double>(Calls.size()));
  while (!Calls.empty())
    fail(Calls.begin()->first, CallFault::Link, error);
}

void CallTable::taskFailed(kj::Exception &&exception) {
  base::logError("peer", ResultCode::Internal,
                 exception.getDescription().cStr());
}

} // namespace magnoliamill::peer::internal

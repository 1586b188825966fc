// Keeps the pending calls of one link, each with its time limit.
#pragma once

#include "base/Result.h"
#include "peer/internal/LoopContext.h"

#include <cstdint>
#include <functional>
#include <kj/async.h>
#include <optional>
#include <unordered_map>

namespace magnoliamill::peer::internal {

/// Why a call ended without an answer.
enum class CallFault { TimeLimit, Link };

/// Each call ends exactly once: by its answer, its time limit, a cancel or the
/// loss of the link. Used on the peer thread only.
class CallTable final : private kj::TaskSet::ErrorHandler {
public:
  using FailHook = std::function<void(CallFault, base::Error)>;

  explicit CallTable(LoopContext &context) : Context(context), Tasks(*this) {}

  /// Waits for \p work and passes its result to \p done, which may throw when
  /// the result is malformed. Any other end is reported to \p fail: PeerTimeout
  /// after \p limit (no limit when absent), or the error of the link. Returns
  /// the number of the call.
  template <typename T>
  std::uint64_t run(kj::Promise<T> work, std::function<void(T &&)> done,
                    FailHook fail, std::optional<base::Duration> limit);
  /// Ends the call without calling its functions, if it is still pending.
  void endCall(std::uint64_t id);
  void failAll(const base::Error &error);

private:
  struct Call {
    FailHook Fail;
    // Fulfilled at the end of the call: cancels the work that still runs for
    // it.
    kj::Own<kj::PromiseFulfiller<void>> Stop;
  };

  bool isActive(std::uint64_t id) const { return Calls.contains(id); }
  std::uint64_t add(FailHook fail);
  void start(std::uint64_t id, kj::Promise<void> work,
             std::optional<base::Duration> limit);
  void fail(std::uint64_t id, CallFault fault, base::Error error);
  void taskFailed(kj::Exception &&exception) override;

  LoopContext &Context;
  std::uint64_t LastId = 0;
  std::unordered_map<std::uint64_t, Call> Calls;
  kj::TaskSet Tasks;
};

template <typename T>
std::uint64_t CallTable::run(kj::Promise<T> work,
                             std::function<void(T &&)> done, FailHook fail,
                             std::optional<base::Duration> limit) {
  std::uint64_t id = add(std::move(fail));
  // The result may arrive in the same turn as a cancel. The call has ended
  // then, and the objects that done refers to may no longer exist.
  auto guarded = work.then([this, id, done = std::move(done)](T &&result) {
    if (isActive(id))
      done(kj::mv(result));
    endCall(id);
  });
  start(id, kj::mv(guarded), limit);
  return id;
}

} // namespace magnoliamill::peer::internal

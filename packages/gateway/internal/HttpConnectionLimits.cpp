// Limits of what one connection, and all together, make the process hold.
#include "base/Log.h"
#include "gateway/internal/HttpConnection.h"

namespace magnoliamill::gateway::internal {

using base::ResultCode;

namespace {

/// Maximum number of bytes read ahead (pipelined requests) while a request is
/// being answered: a header of the usual limit.
constexpr std::size_t MaxReadAhead = 16u << 10;
/// A header that takes more is refused while half of the limit for all is used,
/// so that a few of them don't shut ordinary requests out. Usual ones take 3 to
/// 8 KB.
constexpr std::size_t LargeHeaderBytes = 32u << 10;
/// While others wait for memory or a connection, a caller that sends the body
/// of its request more slowly is refused.
constexpr double MinBytesPerSecond = 64 << 10;
/// Time after which the rate of a caller is judged.
constexpr auto RateGrace = std::chrono::seconds(1);
/// Time to return if the input of all connections is over its limit: about as
/// long as headers that are sent slowly are kept.
constexpr std::uint32_t InputRetryAfterMs = 1000;

} // namespace

bool HttpConnection::isSlow(base::MonoTime begun, base::MonoTime now) const {
  const std::chrono::duration<double> judged = now - begun - RateGrace;
  return static_cast<double>(RequestParser->get().body().size()) <
         judged.count() * MinBytesPerSecond;
}

bool HttpConnection::isShuttingOut(base::MonoTime now) const {
  return State == Phase::Receiving && Memory &&
         Memory->bytes() > MessageMemory::SmallBytes &&
         Server->memory()->hasWaiting() && isSlow(MemorySince, now);
}

bool HttpConnection::isIdle() const {
  return State == Phase::Receiving && !RequestParser->got_some() &&
         Received.size() == 0;
}

bool HttpConnection::canBeReplaced(base::MonoTime now) const {
  if (State != Phase::Receiving || IsAwaitingMemory)
    return false;
  return !IsHeaderSeen || isSlow(TimeLimit - Server->limits().BodyTimeout, now);
}

bool HttpConnection::isReplacedBefore(const HttpConnection &other) const {
  if (isIdle() != other.isIdle())
    return isIdle();
  return TimeLimit < other.TimeLimit;
}

void HttpConnection::onReplaced() {
  base::logInfo("gateway",
                "a connection was closed in favour of a new one, the limit of "
                "connections is reached",
                {{"caller", From}, {"was_idle", isIdle()}});
  // No request of it was passed on.
  if (isIdle())
    return close();
  abort();
}

bool HttpConnection::mayReadAhead() const {
  if (IsInputDiscarded || Received.size() >= MaxReadAhead)
    return false;
  // With nothing read, the read that detects a disconnect stays pending.
  return Received.size() == 0 || Server->hasInputRoom();
}

std::size_t HttpConnection::refusableInput() const {
  if (State == Phase::Receiving)
    return Input.bytes();
  return State == Phase::Answering ? Received.capacity() : 0;
}

void HttpConnection::onInputLimit() {
  base::logInfo("gateway", "a caller's input was discarded, too much is held",
                {{"caller", From},
                 {"bytes", refusableInput()},
                 {"held", Server->input().used()}});
  if (State == Phase::Receiving)
    return refuse({ResultCode::NotRunQueueFull,
                   "the memory for requests is used up", InputRetryAfterMs});
  IsInputDiscarded = true;
  onEndKeepAlive();
  discardInput();
}

bool HttpConnection::countInput() {
  if (Received.size() == 0)
    Received.shrink_to_fit();
  // Later, only trailer fields are added.
  if (!IsHeaderSeen || RequestParser->is_done())
    HeaderBytes = InputShare::measureHeader(RequestParser->get());
  Input.set(HeaderBytes + Received.capacity());
  if (RequestParser->is_done() && HeaderBytes > LargeHeaderBytes &&
      !Server->hasInputRoom()) {
    onInputLimit();
    return false;
  }
  // It may be this connection that is refused.
  Server->limitInput();
  return State == Phase::Receiving;
}

void HttpConnection::discardInput() {
  Received.clear();
  Received.shrink_to_fit();
  if (State != Phase::Answering)
    HeaderBytes = 0;
  Input.set(HeaderBytes);
}

void HttpConnection::onOversizedFraming() {
  base::logWarning("gateway", ResultCode::HeaderTooLarge,
                   "a chunk size or trailer is longer than a header may be",
                   {{"caller", From}, {"bytes", Received.size()}});
  abort();
}

} // namespace magnoliamill::gateway::internal

// Grants memory to requests, large ones in the order in which they wait.
#include "gateway/MessageMemory.h"

#include <utility>

namespace magnoliamill::gateway {

bool MessageMemory::take(std::size_t held, std::size_t bytes) {
  if (Used + held + 2 * bytes > Capacity)
    return false;
  Used += bytes;
  return true;
}

void MessageMemory::release(std::size_t bytes) {
  Used -= bytes;
  if (!Waiting.empty())
    grantWaiting();
}

MessageMemory::ReservationPtr
MessageMemory::makeReservation(std::size_t bytes) {
  Used += bytes;
  return std::make_shared<Reservation>(shared_from_this(), bytes);
}

MessageMemory::ReservationPtr MessageMemory::reserve(std::size_t bytes) {
  const bool IsSmall = bytes <= SmallBytes;
  const std::size_t limit = IsSmall ? Capacity : maxRequestBytes();
  if ((!IsSmall && hasWaiting()) || Used + bytes > limit)
    return nullptr;
  return makeReservation(bytes);
}

void MessageMemory::awaitRoom(std::size_t bytes,
                              std::function<void(ReservationPtr)> granted) {
  Waiting.push_back({bytes, std::move(granted)});
  WaitingBytes += bytes;
  grantWaiting();
}

void MessageMemory::grantWaiting() {
  // A receiver that is gone drops its reservation within the call.
  if (std::exchange(IsGranting, true))
    return;
  while (!Waiting.empty() &&
         Used + Waiting.front().Bytes <= maxRequestBytes()) {
    const Waiter next = std::move(Waiting.front());
    Waiting.pop_front();
    WaitingBytes -= next.Bytes;
    next.Granted(makeReservation(next.Bytes));
  }
  IsGranting = false;
}

} // namespace magnoliamill::gateway

// Shares a fixed amount of memory among the requests and answers that a VM
// holds. Performs no I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace magnoliamill::gateway {

/// Not thread-safe: used on one event loop.
class MessageMemory : public std::enable_shared_from_this<MessageMemory> {
public:
  /// Memory reserved for a request; released when it is destroyed.
  class Reservation {
  public:
    Reservation(std::shared_ptr<MessageMemory> memory, std::size_t bytes)
        : Memory(std::move(memory)), Bytes(bytes) {}
    ~Reservation() { Memory->release(Bytes); }
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    std::size_t bytes() const { return Bytes; }

  private:
    std::shared_ptr<MessageMemory> Memory;
    std::size_t Bytes;
  };
  using ReservationPtr = std::shared_ptr<Reservation>;

  /// Bodies up to this size are admitted without waiting behind larger ones.
  static constexpr std::size_t SmallBytes = 64u << 10;

  explicit MessageMemory(std::size_t capacity) : Capacity(capacity) {}

  /// Takes \p bytes for an answer that holds \p held bytes. Returns false if it
  /// would then hold more than is left free: one answer gets at most half of
  /// the memory, and many that grow at the same time leave room for others.
  bool take(std::size_t held, std::size_t bytes);
  void release(std::size_t bytes);
  std::size_t used() const { return Used; }

  /// False if a request of \p bytes never gets room.
  bool canHold(std::size_t bytes) const { return bytes <= maxRequestBytes(); }
  /// Reserves \p bytes for a request; null if they are not free or others wait
  /// for room.
  ReservationPtr reserve(std::size_t bytes);
  /// Calls \p granted once \p bytes are free; large requests get room in the
  /// order of these calls. \p bytes must satisfy canHold().
  void awaitRoom(std::size_t bytes,
                 std::function<void(ReservationPtr)> granted);
  /// True while large requests wait for room.
  bool hasWaiting() const { return !Waiting.empty(); }
  std::size_t waitingBytes() const { return WaitingBytes; }

private:
  struct Waiter {
    std::size_t Bytes = 0;
    std::function<void(ReservationPtr)> Granted;
  };

  /// The rest is left for answers.
  std::size_t maxRequestBytes() const { return Capacity / 8 * 7; }
  ReservationPtr makeReservation(std::size_t bytes);
  void grantWaiting();

  std::size_t Capacity;
  std::size_t Used = 0;
  std::deque<Waiter> Waiting;
  /// The sum over Waiting.
  std::size_t WaitingBytes = 0;
  bool IsGranting = false;
};

} // namespace magnoliamill::gateway

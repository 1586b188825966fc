// Counts the input that the connections of a server hold. Performs no I/O.
#pragma once

#include <cstddef>

namespace magnoliamill::gateway {

/// Not thread-safe: used on one event loop.
class InputBudget {
public:
  std::size_t used() const { return Used; }

private:
  friend class InputShare;
  std::size_t Used = 0;
};

/// What one connection holds: bytes that were read and not used yet, and the
/// header of its request until that is answered.
class InputShare {
public:
  /// Memory of a header field beside its text: one in the parser, the request
  /// and the copy for the target each. With fields of 4 bytes, a header of
  /// 16,384 bytes takes 50 times its size.
  static constexpr std::size_t FieldBytes = 192;

  explicit InputShare(InputBudget &budget) : Budget(budget) {}
  ~InputShare() { set(0); }
  InputShare(const InputShare &) = delete;
  InputShare &operator=(const InputShare &) = delete;

  void set(std::size_t bytes) {
    Budget.Used = Budget.Used - Held + bytes;
    Held = bytes;
  }
  std::size_t bytes() const { return Held; }

  /// The memory that \p fields take.
  template <class Fields>
  static std::size_t measureHeader(const Fields &fields) {
    std::size_t bytes = 0;
    for (const auto &field : fields)
      bytes += FieldBytes + field.name_string().size() + field.value().size();
    return bytes;
  }

private:
  InputBudget &Budget;
  std::size_t Held = 0;
};

} // namespace magnoliamill::gateway

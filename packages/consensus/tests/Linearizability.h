// Checks whether a history of reads, writes and compare-and-sets on one
// register is linearizable: whether an order of the operations within their
// real times explains every answer (Wing and Gong's algorithm with memoised
// states).
#pragma once

#include "base/Hash.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace magnoliamill::consensus::tests {

enum class OperationKind { Read, Write, CompareAndSet };

struct Operation {
  OperationKind Kind = OperationKind::Read;
  /// Written value, or the new value of a compare-and-set.
  int Value = 0;
  /// What a compare-and-set expects.
  int Expected = 0;
  /// The value read; for a compare-and-set, 1 if it was applied and 0 if not.
  std::optional<int> Answer;
  std::int64_t Start = 0;
  /// Never for an operation without an answer, which may take effect at any
  /// later time or not at all.
  std::int64_t End = Never;

  static constexpr std::int64_t Never =
      std::numeric_limits<std::int64_t>::max();
};

class LinearizabilityChecker {
public:
  explicit LinearizabilityChecker(std::vector<Operation> history)
      : History(std::move(history)) {
    // A read without an answer does not constrain the history.
    std::erase_if(History, [](const Operation &it) {
      return it.Kind == OperationKind::Read && !it.Answer;
    });
    std::sort(History.begin(), History.end(),
              [](const auto &a, const auto &b) { return a.Start < b.Start; });
  }

  /// True if some order explains the history, starting from value 0.
  bool isLinearizable() {
    Done.assign(History.size(), false);
    DoneHash = 0;
    Seen.clear();
    return search(0);
  }

private:
  bool search(int value) {
    const std::int64_t FirstEnd = findFirstEnd();
    if (FirstEnd == Operation::Never)
      return true;
    if (!Seen.emplace(DoneHash, value).second)
      return false;
    for (std::size_t n = 0; n < History.size(); ++n) {
      if (History[n].Start > FirstEnd)
        break;
      // An operation that fits now and changes nothing can be placed here
      // without trying other orders.
      if (!Done[n] && isObservation(History[n]) && apply(History[n], value))
        return searchAfter(n, value);
    }
    for (std::size_t n = 0; n < History.size(); ++n) {
      if (History[n].Start > FirstEnd)
        break;
      const auto next = Done[n] ? std::nullopt : apply(History[n], value);
      if (next && searchAfter(n, *next))
        return true;
    }
    return false;
  }

  bool searchAfter(std::size_t n, int value) {
    toggle(n);
    const bool found = search(value);
    toggle(n);
    return found;
  }

  void toggle(std::size_t n) {
    Done[n] = !Done[n];
    const auto number = static_cast<std::uint64_t>(n);
    DoneHash ^=
        base::hash64({reinterpret_cast<const char *>(&number), sizeof(number)});
  }

  std::int64_t findFirstEnd() const {
    std::int64_t out = Operation::Never;
    for (std::size_t n = 0; n < History.size(); ++n)
      if (!Done[n])
        out = std::min(out, History[n].End);
    return out;
  }

  static bool isObservation(const Operation &op) {
    return op.Kind == OperationKind::Read ||
           (op.Kind == OperationKind::CompareAndSet && op.Answer == 0);
  }

  /// The value afterwards; nothing if the answer does not fit.
  static std::optional<int> apply(const Operation &op, int value) {
    if (op.Kind == OperationKind::Write)
      return op.Value;
    if (op.Kind == OperationKind::Read)
      return *op.Answer == value ? std::optional(value) : std::nullopt;
    const bool fits = value == op.Expected;
    if (op.Answer && *op.Answer != (fits ? 1 : 0))
      return std::nullopt;
    return fits ? op.Value : value;
  }

  std::vector<Operation> History;
  std::vector<bool> Done;
  // Hash of the set of operations that are done.
  std::uint64_t DoneHash = 0;
  std::set<std::pair<std::uint64_t, int>> Seen;
};

} // namespace magnoliamill::consensus::tests

// Bounds retries to a share of the answered requests, so that retries cannot
// multiply the load on targets that already fail.
#pragma once

#include <algorithm>
#include <cstdint>

namespace magnoliamill::dispatch {

class RetryBudget {
public:
  /// \p percent retries per 100 answers.
  explicit RetryBudget(std::uint32_t percent) : PerAnswer(percent / 100.0) {}

  void onAnswer() { Balance = std::min(MaxBalance, Balance + PerAnswer); }

  /// Takes one retry out of the budget if it is there.
  bool tryTake() {
    if (Balance < 1.0)
      return false;
    Balance -= 1.0;
    return true;
  }

private:
  // Retries that may be saved up for a burst of failures.
  static constexpr double MaxBalance = 10.0;

  double PerAnswer;
  double Balance = 3.0;
};

} // namespace magnoliamill::dispatch

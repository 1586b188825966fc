// Limits retries to a fraction of the answered requests, so that retries cannot
// multiply the load on targets that are already failing.
#pragma once

#include <algorithm>
#include <cstdint>

namespace magnoliamill::dispatch {

class RetryBudget {
public:
  /// Allows \p percent retries per 100 answers. \p MaxSaved limits how many
  /// unused retries are saved for a burst of failures.
  explicit RetryBudget(std::uint32_t percent, double MaxSaved = 10.0)
      : PerAnswer(percent / 100.0), MaxBalance(MaxSaved),
        Balance(std::min(InitialBalance, MaxSaved)) {}

  void onAnswer() { Balance = std::min(MaxBalance, Balance + PerAnswer); }

  /// Consumes one retry. Returns false if the budget is used up.
  bool tryTake() {
    if (Balance < 1.0)
      return false;
    Balance -= 1.0;
    return true;
  }

private:
  static constexpr double InitialBalance = 3.0;

  double PerAnswer;
  double MaxBalance;
  double Balance;
};

} // namespace magnoliamill::dispatch

// Generates random arrivals and keys.
#include "bench/load/LoadPlan.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <random>

namespace magnoliamill::bench {
namespace {

std::vector<double> makeZipfWeights(const PlanConfig &config) {
  std::vector<double> weights(config.Keys);
  for (std::uint32_t n = 0; n < config.Keys; ++n)
    weights[n] = 1.0 / std::pow(n + 1.0, config.Zipf);
  return weights;
}

} // namespace

std::vector<PlannedRequest> makePlan(const PlanConfig &config) {
  const auto weights = makeZipfWeights(config);
  std::vector<PlannedRequest> plan;
  for (std::uint32_t account = 0; account < config.ClientAccounts.size();
       ++account) {
    std::mt19937_64 random(config.Seed * 1000 + account);
    std::exponential_distribution<double> gap(
        config.ClientAccounts[account].Rate);
    std::discrete_distribution<std::uint32_t> key(weights.begin(),
                                                  weights.end());
    std::bernoulli_distribution post(config.PostShare);
    double due = gap(random);
    for (; due < config.Length.count(); due += gap(random)) {
      const auto at = std::chrono::duration<double>(due);
      plan.push_back({std::chrono::duration_cast<std::chrono::nanoseconds>(at),
                      account, key(random), post(random)});
    }
  }
  std::ranges::sort(plan, {}, &PlannedRequest::Due);
  return plan;
}

std::vector<ClientAccountRate> parseClientAccounts(std::string_view text) {
  std::vector<ClientAccountRate> accounts;
  while (!text.empty()) {
    const auto item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const auto colon = item.find(':');
    if (colon == std::string_view::npos)
      return {};
    const double rate =
        std::strtod(std::string(item.substr(colon + 1)).c_str(), nullptr);
    if (rate <= 0)
      return {};
    accounts.push_back({std::string(item.substr(0, colon)), rate});
  }
  return accounts;
}

} // namespace magnoliamill::bench

// Plans when each request of a run is due and what it contains. The plan
// depends only on the seed and the settings, so a slow answer never delays a
// later request.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::bench {

struct ClientAccountRate {
  std::string ClientAccount;
  /// Requests per second.
  double Rate = 0;
};

struct PlanConfig {
  std::vector<ClientAccountRate> ClientAccounts;
  std::chrono::duration<double> Length{5};
  std::uint64_t Seed = 1;
  std::uint32_t Keys = 1000;
  /// Exponent of the Zipf distribution of keys; 0 is uniform.
  double Zipf = 0.9;
  /// Share of POST requests, 0 to 1.
  double PostShare = 0;
};

struct PlannedRequest {
  /// Time since the start of the run.
  std::chrono::nanoseconds Due{};
  std::uint32_t ClientAccount = 0;
  std::uint32_t Key = 0;
  bool IsPost = false;
};

/// Makes Poisson arrivals for each client account, merged in order of due time.
std::vector<PlannedRequest> makePlan(const PlanConfig &config);

/// Parses "brazos:100,salzhof:50" (requests per second). Returns an empty list
/// when the text is malformed.
std::vector<ClientAccountRate> parseClientAccounts(std::string_view text);

} // namespace magnoliamill::bench

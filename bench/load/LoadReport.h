// Collects the outcomes and latencies of the requests of a run and summarizes
// them as one JSON object.
#pragma once

#include "bench/load/LoadPlan.h"

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::bench {

enum class RequestOutcome : std::uint8_t { Answered, NotRun, Unknown };

class LoadReport {
public:
  explicit LoadReport(std::vector<ClientAccountRate> accounts);

  /// \p latency is measured from the time when the request was due, not from
  /// when it was sent.
  void add(std::uint32_t account, RequestOutcome outcome, std::string_view code,
           std::chrono::nanoseconds latency);
  boost::json::object describe(std::size_t sent,
                               std::chrono::duration<double> length) const;

private:
  struct Tally {
    std::size_t Answered = 0;
    std::size_t NotRun = 0;
    std::size_t Unknown = 0;
  };

  std::vector<ClientAccountRate> ClientAccounts;
  std::vector<Tally> Tallies;
  // Latencies in milliseconds.
  std::vector<double> AnsweredMs;
  std::vector<double> RefusedMs;
  std::map<std::string, std::size_t> Codes;
};

/// Jain's fairness index: 1 when all shares are equal.
double jainIndex(const std::vector<double> &shares);

} // namespace magnoliamill::bench

// Checks the responses that callers got against the runs that targets recorded.
#pragma once

#include "cluster/LoadRecorder.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::tests {

/// The time at which a target was frozen or killed, by the target's name;
/// CLOCK_MONOTONIC, microseconds.
using StopTimes = std::map<std::string, std::int64_t>;

struct History {
  std::vector<CallRecord> Calls;
  std::vector<RunRecord> Runs;
  /// A run that was in progress at its target's stop time is taken to end then,
  /// as a frozen or killed target runs nothing.
  StopTimes Stops;
};

struct HistoryReport {
  /// One description for each violation of a guarantee.
  std::vector<std::string> Violations;
  /// The longest time between two answered requests of one key, and that key.
  std::int64_t UnavailableUs = 0;
  std::string UnavailableKey;
  std::size_t Answered = 0;
  std::size_t NotRun = 0;
  std::size_t Unknown = 0;
  std::size_t NoResponse = 0;
  /// Calls without an answer, counted by result code; "" where the response had
  /// no code or no response arrived.
  std::map<std::string, std::size_t> Codes;

  std::string describe() const;
};

/// Checks all calls and runs of \p history; unavailable times are measured from
/// \p FromUs to \p ToUs (CLOCK_MONOTONIC, microseconds).
HistoryReport checkHistory(const History &history, std::int64_t FromUs,
                           std::int64_t ToUs);

} // namespace magnoliamill::tests

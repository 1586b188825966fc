// Judges what callers were told against what targets ran.
#pragma once

#include "cluster/LoadRecorder.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::tests {

/// When a target, by its name, stood still or was lost.
using StopTimes = std::map<std::string, std::int64_t>;

struct History {
  std::vector<CallRecord> Calls;
  std::vector<RunRecord> Runs;
  /// A run without an end, or with one after the target stood still, is taken
  /// to last until the time given here: nothing ran while the target stood.
  StopTimes Stops;
};

struct Verdict {
  /// Each is one breach of a promise, in words.
  std::vector<std::string> Breaches;
  /// The longest time in which one key had no answered request.
  std::int64_t UnavailableUs = 0;
  std::string UnavailableKey;
  std::size_t Answered = 0;
  std::size_t NotRun = 0;
  std::size_t Unknown = 0;
  std::size_t Nothing = 0;
  /// Failures by result code; "" where the caller got no answer at all.
  std::map<std::string, std::size_t> Codes;

  std::string describe() const;
};

/// \p FromUs and \p ToUs bound the time in which a key has to be served.
Verdict checkHistory(const History &history, std::int64_t FromUs,
                     std::int64_t ToUs);

} // namespace magnoliamill::tests

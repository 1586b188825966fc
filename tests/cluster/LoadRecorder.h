// Generates load on a cluster and records the outcome of each request.
#pragma once

#include "cluster/LocalCluster.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace magnoliamill::tests {

/// What the response says about a request: it was answered, it did not run, or
/// it may have run. The last value stands for no response at all.
enum class CallOutcome { Answered, NotRun, Unknown, NoResponse };

struct CallRecord {
  /// Unique. It is the last part of the path, so that a call can be found among
  /// the runs that targets recorded.
  std::string Id;
  std::string Key;
  bool IsPost = false;
  std::string Entry;
  std::string Path;
  CallOutcome Outcome = CallOutcome::NoResponse;
  unsigned Status = 0;
  std::string Code;
  /// Key and request id from the body of the response.
  std::string AnsweredKey;
  std::string AnsweredRequest;
  /// CLOCK_MONOTONIC, microseconds, as in the run records of the targets.
  std::int64_t StartUs = 0;
  std::int64_t EndUs = 0;
};

/// CLOCK_MONOTONIC in microseconds.
std::int64_t readMonotonicUs();

/// Calls a keyed service once through \p entry and returns \p call completed
/// with the outcome. POST goes to /release/ID, GET to /level/ID.
CallRecord recordCall(LocalCluster &cluster, const std::string &entry,
                      const std::string &service, CallRecord call,
                      HttpHeaders headers = {});

struct LoadPlan {
  std::string Service;
  std::vector<std::string> Entries;
  std::vector<std::string> Keys;
};

/// Runs two callers for each key, at different entry VMs; each alternates
/// between POST and GET.
class LoadRecorder {
public:
  LoadRecorder(LocalCluster &cluster, LoadPlan plan);
  ~LoadRecorder();
  LoadRecorder(const LoadRecorder &) = delete;
  LoadRecorder &operator=(const LoadRecorder &) = delete;

  /// Sends no further calls to \p entry, as the platform's load balancer does
  /// when an entry VM is lost.
  void excludeEntry(const std::string &entry);
  /// Ends the callers after their current calls and returns all calls.
  std::vector<CallRecord> stop();
  /// Whether each key has at least \p count answered requests that started at
  /// \p SinceUs or later.
  bool hasAnswers(std::int64_t SinceUs, std::size_t count);
  std::int64_t startUs() const { return StartUs; }

private:
  void runCaller(std::size_t caller);
  std::string chooseEntry(std::size_t caller);

  LocalCluster &Cluster;
  LoadPlan Plan;
  std::int64_t StartUs;
  std::atomic<bool> Stopping = false;
  std::mutex Lock;
  std::set<std::string> ExcludedEntries;
  std::vector<CallRecord> Calls;
  std::vector<std::thread> Callers;
};

} // namespace magnoliamill::tests

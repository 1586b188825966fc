// Callers under load that write down what they were told of each request.
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

/// What a caller was told of the fate of its request.
enum class CallOutcome { Answered, NotRun, Unknown, Nothing };

struct CallRecord {
  /// Unique; the last part of the path, so that the runs of targets name it.
  std::string Id;
  std::string Key;
  bool IsPost = false;
  std::string Entry;
  std::string Path;
  CallOutcome Outcome = CallOutcome::Nothing;
  unsigned Status = 0;
  std::string Code;
  /// Key and request id in the body of an answer.
  std::string AnsweredKey;
  std::string AnsweredRequest;
  /// CLOCK_MONOTONIC, microseconds, as in the records of the targets.
  std::int64_t StartUs = 0;
  std::int64_t EndUs = 0;
};

std::int64_t readMonotonicUs();

/// Performs one call of a keyed service. POST goes to /release/ID, GET to
/// /level/ID.
CallRecord recordCall(LocalCluster &cluster, const std::string &entry,
                      const std::string &service, CallRecord call,
                      HttpHeaders headers = {});

struct LoadPlan {
  std::string Service;
  std::vector<std::string> Entries;
  std::vector<std::string> Keys;
};

/// Two callers for each key, at different entry VMs, half POST and half GET.
class LoadRecorder {
public:
  LoadRecorder(LocalCluster &cluster, LoadPlan plan);
  ~LoadRecorder();
  LoadRecorder(const LoadRecorder &) = delete;
  LoadRecorder &operator=(const LoadRecorder &) = delete;

  /// As the platform's balancer does with an entry VM that is lost.
  void avoid(const std::string &entry);
  /// Ends the callers after their current calls.
  std::vector<CallRecord> stop();
  /// Answered requests of each key are at least \p count since \p SinceUs.
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

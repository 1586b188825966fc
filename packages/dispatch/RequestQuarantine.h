// Remembers under which requests targets have ended, and which requests no
// target may get any more. Answers the load of a request that ends each target
// that runs it and comes again. Performs no I/O.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliamill::dispatch {

/// A target ended while it had a request.
struct TargetCrash {
  /// Hash of what the request contains; equal for its repeats.
  std::uint64_t Content = 0;
  /// Names the instance of the target.
  std::string Target;
  base::MonoTime At;
};

/// One crash says little, since other requests end with the target, too. A
/// request is refused once several targets have ended under it and none has
/// answered it.
class RequestQuarantine {
public:
  /// False if the crash is known already, or too old.
  bool add(const TargetCrash &crash, base::MonoTime now);
  /// A target has run such a request and answered it. False if nothing was
  /// known against it.
  bool clear(std::uint64_t content);

  /// Until when requests with this content are refused; not set if they aren't.
  std::optional<base::MonoTime> endOf(std::uint64_t content,
                                      base::MonoTime now) const;
  /// Whether a target may get the request after another one has ended under it.
  bool mayRetry(std::uint64_t content, base::MonoTime now) const;
  bool isEmpty() const { return Records.empty(); }
  /// Whether a target has ended under such a request.
  bool isKnown(std::uint64_t content) const {
    return Records.contains(content);
  }

  std::vector<TargetCrash> list(base::MonoTime now) const;
  /// Those of the requests that are refused.
  std::vector<TargetCrash> listRefused(base::MonoTime now) const;
  /// Number of requests that are refused.
  std::size_t countRefused(base::MonoTime now) const;

  /// Number of targets after which a request is refused.
  static constexpr std::size_t CrashesToRefuse = 3;
  /// How long a crash counts. In this time a target can be mended, or the
  /// caller be stopped.
  static constexpr base::Duration Lifetime = std::chrono::minutes(10);
  /// Bounds the memory; the oldest are forgotten.
  static constexpr std::size_t MaxRequests = 1024;

private:
  /// The time of the crash by target; CrashesToRefuse at most.
  using Record = std::map<std::string, base::MonoTime>;

  static std::size_t countCrashes(const Record &record, base::MonoTime now);
  static base::MonoTime newestOf(const Record &record);
  /// Makes room for another request.
  void forget(base::MonoTime now);

  std::map<std::uint64_t, Record> Records;
};

} // namespace magnoliamill::dispatch

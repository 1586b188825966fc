// Which targets this VM can connect to, according to its own attempts. A data
// centre to which several connections failed, and none succeeded since, counts
// as cut off with all of its targets, so that a failed path is told apart from
// a target that has ended. Performs no I/O.
#pragma once

#include "base/Time.h"
#include "keyspace/Types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::entry {

class TargetReach {
public:
  /// A connection to \p target in the data centre \p centre that was begun at
  /// \p begun could not be opened. Returns true if the data centre counts as
  /// cut off from now on.
  bool onFailed(const keyspace::TargetInstance &target, std::string_view centre,
                base::MonoTime begun, base::MonoTime now);
  /// The target accepted a connection or answered a request, in an attempt
  /// begun at \p begun. Returns true if its data centre counted as cut off
  /// until now.
  bool onReached(const keyspace::TargetInstance &target,
                 std::string_view centre, base::MonoTime begun,
                 base::MonoTime now);

  /// The target is not in the view any more.
  void forget(const keyspace::TargetInstance &target, std::string_view centre);

  /// Whether to connect to the target.
  bool isReachable(const keyspace::TargetInstance &target,
                   std::string_view centre, base::MonoTime now) const;
  /// Whether the path to all targets of the data centre seems to have failed.
  bool isCutOff(std::string_view centre, base::MonoTime now) const;

  /// One target of each data centre that is cut off, to which a connection has
  /// to be tried: the one whose last failure is the oldest.
  struct Probe {
    keyspace::TargetInstance Target;
    std::string DataCentre;
  };
  std::vector<Probe> listProbes(base::MonoTime now) const;

  /// Targets that must have failed for their data centre to be cut off.
  static constexpr std::size_t FailuresToCutOff = 2;
  /// How long a failure counts. Shorter than the time after which the keys of a
  /// target that has ended move to another one.
  static constexpr base::Duration FailureTime = std::chrono::seconds(1);

private:
  struct Failure {
    base::MonoTime Begun;
    base::MonoTime At;
    /// Another target of the data centre was reached in a later attempt.
    bool IsRefuted = false;
  };
  struct Centre {
    std::map<keyspace::TargetInstance, Failure> Failures;
    base::MonoTime LastFailure;
  };
  static bool isCutOff(const Centre &centre, base::MonoTime now);

  std::map<std::string, Centre, std::less<>> Centres;
};

} // namespace magnoliamill::entry

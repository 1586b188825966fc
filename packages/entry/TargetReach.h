// Which targets this VM can connect to, according to its own attempts. A group
// of targets to which several connections failed, and none succeeded since,
// counts as cut off with all of its members: a failed path is told apart from a
// target that has ended. Performs no I/O.
#pragma once

#include "base/Time.h"
#include "keyspace/Types.h"

#include <array>
#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::entry {

/// Targets that may become unreachable together: those of one service in one
/// data centre, all of a data centre (without a service), or all (with
/// neither).
struct TargetGroup {
  std::string DataCentre;
  std::string Service;
  auto operator<=>(const TargetGroup &) const = default;
};

class TargetReach {
public:
  /// A connection to \p target, a member of \p group, could not be opened. The
  /// attempt was begun at \p begun. Returns the groups that count as cut off
  /// from now on.
  std::vector<TargetGroup> onFailed(const keyspace::TargetInstance &target,
                                    const TargetGroup &group,
                                    base::MonoTime begun, base::MonoTime now);
  /// The target accepted a connection or answered a request, in an attempt
  /// begun at \p begun. Returns the groups that counted as cut off until now.
  std::vector<TargetGroup> onReached(const keyspace::TargetInstance &target,
                                     const TargetGroup &group,
                                     base::MonoTime begun, base::MonoTime now);
  /// The target is not in the view any more.
  void forget(const keyspace::TargetInstance &target, const TargetGroup &group);

  /// Whether to connect to the target.
  bool isReachable(const keyspace::TargetInstance &target,
                   const TargetGroup &group, base::MonoTime now) const;
  /// Whether the path to \p group, or to a group that includes it, seems to
  /// have failed.
  bool isCutOff(const TargetGroup &group, base::MonoTime now) const;
  /// The groups that are cut off, without those that another one includes. One
  /// member of each has to be tried from time to time.
  std::vector<TargetGroup> listCutOff(base::MonoTime now) const;

  /// Targets that must have failed for their data centre, or their service in
  /// it, to be cut off.
  static constexpr std::size_t FailuresToCutOff = 2;
  /// The same for all targets.
  static constexpr std::size_t FailuresToCutOffAll = 3;
  /// How long a failure counts. Shorter than the time after which the keys of a
  /// target that has ended move to another one.
  static constexpr base::Duration FailureTime = std::chrono::seconds(1);

private:
  struct Failure {
    base::MonoTime Begun;
    base::MonoTime At;
    /// Another member of the group was reached in a later attempt.
    bool IsRefuted = false;
  };
  struct Failures {
    std::map<keyspace::TargetInstance, Failure> ByTarget;
    base::MonoTime Last;
  };
  /// The group itself, and those that include it.
  static std::array<TargetGroup, 3> listEnclosing(const TargetGroup &group);
  static bool isCutOff(const TargetGroup &group, const Failures &failures,
                       base::MonoTime now);
  /// Whether \p group itself counts as cut off.
  bool isMarked(const TargetGroup &group, base::MonoTime now) const;

  std::map<TargetGroup, Failures> Groups;
};

} // namespace magnoliamill::entry

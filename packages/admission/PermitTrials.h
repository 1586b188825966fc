// Requests under which a target has ended run at one target at a time, until a
// target has answered one. Answers the load of many attempts at a request that
// ends each target: together they would end the slots of several targets before
// it is refused. Performs no I/O.
#pragma once

#include "admission/PermitIssuer.h"

#include <map>

namespace magnoliamill::admission {

class PermitTrials {
public:
  /// Begins a trial of \p content with the permit \p id, which ends at
  /// \p deadline at the latest. False if another one is under way.
  bool tryBegin(std::uint64_t content, const PermitId &id,
                base::MonoTime deadline, base::MonoTime now) {
    std::erase_if(Trials,
                  [now](const auto &it) { return it.second.Deadline <= now; });
    return Trials.try_emplace(content, id, deadline).second;
  }

  /// The permit was ended. After a failure the next trial waits for the report
  /// on whether the target has ended.
  void end(const PermitId &id, PermitUse use, base::MonoTime now) {
    if (use != PermitUse::Failed)
      return abandon(id);
    for (auto &[content, trial] : Trials)
      if (trial.Id == id)
        trial.Deadline = now + ReportTime;
  }
  /// The permit was not granted.
  void abandon(const PermitId &id) {
    std::erase_if(Trials, [&](const auto &it) { return it.second.Id == id; });
  }
  /// The requester's link was lost.
  void endAll(std::uint64_t requester) {
    std::erase_if(Trials, [&](const auto &it) {
      return it.second.Id.Requester == requester;
    });
  }

  /// How long the report on a failed call may take; the check of the target's
  /// address takes up to half of it.
  static constexpr base::Duration ReportTime = std::chrono::seconds(1);
  /// Retry-After value for the other attempts: most requests take less time.
  static constexpr base::Duration RetryAfter = std::chrono::milliseconds(250);

private:
  struct Trial {
    Trial(const PermitId &id, base::MonoTime deadline)
        : Id(id), Deadline(deadline) {}
    PermitId Id;
    base::MonoTime Deadline;
  };
  /// By the content of the request; at most one for each.
  std::map<std::uint64_t, Trial> Trials;
};

} // namespace magnoliamill::admission

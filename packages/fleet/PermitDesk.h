// Issues permits to the entries that are linked to this core: connects the
// links and the view to the permit issuer.
#pragma once

#include "admission/PermitIssuer.h"
#include "admission/PermitTrials.h"
#include "fleet/Link.h"
#include "fleet/View.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace magnoliamill::fleet {

/// Not thread-safe: all methods run on the thread of the event loop.
class PermitDesk {
public:
  /// Whether a target has ended under a request with this content.
  using SuspectHook = std::function<bool(std::uint64_t content)>;

  /// \p bound is what the deployment allows beyond the warm-up rates.
  explicit PermitDesk(std::uint64_t seed, SuspectHook suspect = {},
                      admission::WarmUpBound bound = {})
      : Issuer(seed), IsSuspect(std::move(suspect)), Bound(bound) {}

  /// Applies the last change of \p view.
  void onView(const View &view);
  void onAsk(const std::shared_ptr<Link> &from, const PermitAsk &ask,
             base::MonoTime now);
  void onEnd(const std::shared_ptr<Link> &from, const PermitEnd &end,
             base::MonoTime now);
  void onLinkClosed(const std::shared_ptr<Link> &link, base::MonoTime now);
  void tick(base::MonoTime now);
  base::Duration typicalServiceTime(const std::string &service) const {
    return Issuer.typicalServiceTime(service);
  }

private:
  void update(const View &view, const keyspace::TargetInstance &instance);
  /// Takes the warm-up limits of the services from the configuration, and
  /// updates the targets of those that have changed.
  void updateWarmUpLimits(const View &view);
  /// Passes on the load that the target of a permit reported.
  void reportLoad(const admission::PermitId &id,
                  const dispatch::TargetLoad &load, base::MonoTime now);
  /// Stops issuing permits for the target of \p end if a newer view than this
  /// core's does not list it as ready.
  void removeIfDeparted(const admission::PermitId &id, const PermitEnd &end);
  /// Refuses the permit and returns true if the request may end targets and
  /// another attempt at it is under way.
  bool refuseIfOnTrial(const admission::PermitId &id,
                       const admission::PermitRequest &request,
                       base::MonoTime now);
  void answer(const admission::PermitIssuer::Answers &answers);

  admission::PermitIssuer Issuer;
  admission::PermitTrials Trials;
  SuspectHook IsSuspect;
  admission::WarmUpBound Bound;
  /// Permits in any second for a target that warms up, by service; only those
  /// with a limit.
  std::map<std::string, std::uint32_t> WarmUpPermits;
  ViewVersion CurrentView;
  /// The number of each link that has asked, and the reverse.
  std::map<std::shared_ptr<Link>, std::uint64_t> Numbers;
  std::map<std::uint64_t, std::weak_ptr<Link>> Links;
  std::uint64_t NextNumber = 1;
};

} // namespace magnoliamill::fleet

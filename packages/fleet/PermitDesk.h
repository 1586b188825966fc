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

namespace magnoliamill::fleet {

/// Not thread-safe: all methods run on the thread of the event loop.
class PermitDesk {
public:
  /// Whether a target has ended under a request with this content.
  using SuspectHook = std::function<bool(std::uint64_t content)>;

  explicit PermitDesk(std::uint64_t seed, SuspectHook suspect = {})
      : Issuer(seed), IsSuspect(std::move(suspect)) {}

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
  ViewVersion CurrentView;
  /// The number of each link that has asked, and the reverse.
  std::map<std::shared_ptr<Link>, std::uint64_t> Numbers;
  std::map<std::uint64_t, std::weak_ptr<Link>> Links;
  std::uint64_t NextNumber = 1;
};

} // namespace magnoliamill::fleet

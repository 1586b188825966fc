// Runs the planners when this VM leads the group and turns their decisions into
// proposals.
#include "ownership/Controller.h"

#include "ownership/internal/DispatcherPlanner.h"
#include "ownership/internal/SlotPlanner.h"
#include "ownership/internal/TargetPlanner.h"

#include <fmt/format.h>

namespace magnoliamill::ownership {

using base::ResultCode;

namespace {

constexpr base::Duration LeaderTickInterval = std::chrono::milliseconds(20);
constexpr base::Duration IdleTickInterval = std::chrono::seconds(1);
/// Announcements are discarded after this time.
constexpr base::Duration AnnouncementTtl = std::chrono::seconds(60);
/// Limits the memory that announcements can use.
constexpr std::size_t MaxAnnouncements = 4096;

} // namespace

struct Controller::State {
  explicit State(ControllerConfig config)
      : Config(std::move(config)), Out(Config.ProposalRetry) {}

  void operator()(const BecameLeader &event, base::MonoTime now);
  void operator()(const LostLeadership &, base::MonoTime);
  void operator()(const ViewChanged &event, base::MonoTime now);
  void operator()(const SettingsChanged &event, base::MonoTime) {
    Settings = event.Settings;
  }
  void operator()(const Announced &event, base::MonoTime now);
  void operator()(const LeaseRequested &event, base::MonoTime now);
  void operator()(const ControllerTick &event, base::MonoTime now);

  void startLeasesIfTermBegan(base::MonoTime now);
  void decide(base::MonoTime now);
  std::optional<base::Error> checkAnnouncement(const Announcement &it) const;

  ControllerConfig Config;
  settings::ViewPtr Settings = std::make_shared<const settings::View>();
  ViewPtr Ownership = std::make_shared<const View>();
  internal::ReceivedAnnouncements Announcements;
  internal::Proposals Out;
  std::map<base::TargetInstanceId, base::MonoTime> LastEvacuation;
  /// Set while this VM leads the group.
  std::optional<std::uint64_t> Term;
  /// Set once the view shows that the term has begun.
  std::optional<internal::LeaseTable> Leases;
  std::int64_t WallMs = 0;
  base::MonoTime LastStep{};
  ControllerActions Actions;
};

void Controller::State::operator()(const BecameLeader &event,
                                   base::MonoTime now) {
  Term = event.Term;
  Leases.reset();
  Out = internal::Proposals(Config.ProposalRetry);
  startLeasesIfTermBegan(now);
}

void Controller::State::operator()(const LostLeadership &, base::MonoTime) {
  Term.reset();
  Leases.reset();
  LastEvacuation.clear();
}

void Controller::State::operator()(const ViewChanged &event,
                                   base::MonoTime now) {
  Ownership = event.Ownership;
  startLeasesIfTermBegan(now);
  if (Leases)
    Leases->finishRevocations(*Ownership);
}

void Controller::State::startLeasesIfTermBegan(base::MonoTime now) {
  // From here on no command of an earlier leader can take effect, so every
  // dispatcher that is not named in the view has lost its lease before.
  if (Term && !Leases && Ownership->ControllerTerm == *Term)
    Leases.emplace(Ownership->Index, now);
}

void Controller::State::operator()(const Announced &event, base::MonoTime now) {
  if (!Term) {
    Actions.AnnouncementRefused =
        base::Error{ResultCode::NotLeader, "this VM does not lead the group"};
    return;
  }
  Actions.AnnouncementRefused = checkAnnouncement(event.Target);
  if (!Actions.AnnouncementRefused)
    Announcements[event.Target.Instance] = {event.Target, now};
}

std::optional<base::Error>
Controller::State::checkAnnouncement(const Announcement &it) const {
  const auto service = Settings->Services.find(it.Service);
  if (service == Settings->Services.end())
    return base::Error{
        ResultCode::TargetNotAllowed,
        fmt::format("service {} is not in the settings", it.Service.Value)};
  const auto &centres = service->second.DataCentres;
  const bool IsHere =
      it.DataCentre == Config.DataCentre &&
      (centres.empty() ||
       std::ranges::find(centres, it.DataCentre) != centres.end());
  if (!IsHere)
    return base::Error{ResultCode::TargetNotAllowed,
                       fmt::format("service {} does not run in data centre {} "
                                   "or this VM is in another one",
                                   it.Service.Value, it.DataCentre.Value)};
  if (!isHostAllowed(it.Host, service->second.TargetHosts))
    return base::Error{
        ResultCode::TargetNotAllowed,
        fmt::format("host {} may not serve {}", it.Host, it.Service.Value)};
  if (Announcements.size() >= MaxAnnouncements &&
      !Announcements.contains(it.Instance))
    return base::Error{ResultCode::RateLimited, "too many targets announced"};
  return std::nullopt;
}

void Controller::State::operator()(const LeaseRequested &event,
                                   base::MonoTime now) {
  if (Leases && Leases->renew(event, now))
    Actions.LeaseGranted = LeaseDuration;
}

void Controller::State::operator()(const ControllerTick &event,
                                   base::MonoTime now) {
  WallMs = event.WallMs;
  std::erase_if(Announcements, [&](const auto &entry) {
    return now > entry.second.At + AnnouncementTtl;
  });
}

void Controller::State::decide(base::MonoTime now) {
  if (!Term)
    return;
  Out.begin(*Term, now);
  if (!Leases) {
    if (Ownership->ControllerTerm < *Term)
      Out.propose("term", {}, BeginTerm{});
    Actions.Propose = Out.takeCommands();
    return;
  }
  internal::PlanContext context{Config,         *Ownership, *Settings,
                                Announcements,  *Leases,    Out,
                                LastEvacuation, now,        WallMs};
  internal::TargetPlanner(context).plan();
  internal::DispatcherPlanner(context).plan();
  for (const auto &[id, service] : Settings->Services) {
    if (!service.Keyed)
      continue;
    internal::SlotPlanner planner(context, service);
    planner.plan();
    const auto &released = planner.homesReleased();
    Actions.HomesReleased.insert(Actions.HomesReleased.end(), released.begin(),
                                 released.end());
  }
  Actions.Propose = Out.takeCommands();
}

Controller::Controller(ControllerConfig config)
    : Self(std::make_unique<State>(std::move(config))) {}
Controller::~Controller() = default;
Controller::Controller(Controller &&) noexcept = default;
Controller &Controller::operator=(Controller &&) noexcept = default;

ControllerActions Controller::step(const ControllerEvent &event,
                                   base::MonoTime now) {
  Self->Actions = {};
  Self->LastStep = now;
  std::visit([&](const auto &it) { (*Self)(it, now); }, event);
  Self->decide(now);
  return std::exchange(Self->Actions, {});
}

base::MonoTime Controller::nextWake() const {
  return Self->LastStep + (Self->Term ? LeaderTickInterval : IdleTickInterval);
}

} // namespace magnoliamill::ownership

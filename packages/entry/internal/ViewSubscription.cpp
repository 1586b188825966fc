// Uses one link at a time, preferably to a core in the entry's data centre.
#include "entry/ViewSubscription.h"

#include "base/Hash.h"
#include "base/Log.h"

#include <algorithm>

namespace magnoliamill::entry {

using base::ResultCode;

namespace {

/// Cores confirm every 400 ms that the view is current. Up to three
/// confirmations may be missing, because a change must take effect everywhere
/// within 2 s.
constexpr base::Duration SilenceLimit = std::chrono::milliseconds(1250);
/// Time for the first confirmation by a core that was just contacted, if there
/// are others: together with SilenceLimit less than those 2 s.
constexpr base::Duration FirstConfirmTime = std::chrono::milliseconds(550);
/// A core is left if no byte of a frame that it has begun arrives for this
/// time.
constexpr base::Duration StallTime = FirstConfirmTime;
/// How long a frame may take, at first. A complete view of thousands of routes
/// takes seconds on a narrow link, and the core may also be what is slow.
constexpr base::Duration MinTransferTime = std::chrono::seconds(2);
/// How long it may take after several cores were left while they sent one.
constexpr base::Duration MaxTransferTime = std::chrono::seconds(16);
constexpr base::Duration CheckInterval = std::chrono::milliseconds(250);
/// How often the core is asked for other entries.
constexpr base::Duration EntriesInterval = std::chrono::seconds(3);

} // namespace

ViewSubscription::ViewSubscription(base::EventLoopThread &loop,
                                   const fleet::FleetSettings &settings,
                                   ViewSubscriptionHooks hooks)
    : EventLoop(loop), Settings(settings), Hooks(std::move(hooks)),
      Selector(settings.DataCentre, base::hash64(settings.Vm, 0)),
      Timer(loop.context()), TransferTime(MinTransferTime) {}

ViewSubscription::~ViewSubscription() {
  *Alive = false;
  if (Link)
    Link->close();
}

void ViewSubscription::start() {
  updateSeeds(Settings.Seeds);
  connect();
  startTimer();
}

void ViewSubscription::updateSeeds(
    const std::vector<settings::ListenAddress> &seeds) {
  std::vector<std::string> hosts;
  hosts.reserve(seeds.size());
  for (const auto &seed : seeds)
    hosts.push_back(seed.Host);
  Selector.setSeeds(std::move(hosts));
}

void ViewSubscription::connect() {
  Core = Selector.choose(CurrentView.cores(), base::readMonotonic());
  if (Core.empty())
    return;
  FollowedSince = base::readMonotonic();
  HasConfirmed = false;
  CoreProtocol = fleet::FirstProtocolVersion;
  Link = std::make_shared<fleet::Link>(EventLoop.context());
  fleet::LinkHooks hooks;
  hooks.OnFrame = [this](fleet::Frame frame) { onFrame(std::move(frame)); };
  hooks.OnClosed = [this, alive = Alive,
                    weak = std::weak_ptr(Link)](const std::string &reason) {
    if (*alive && Link == weak.lock())
      switchCore(reason);
  };
  Link->open(Core, Settings.LinkPort, std::move(hooks));
  fleet::Hello hello;
  hello.Host = Settings.Host;
  hello.DataCentre = Settings.DataCentre;
  hello.WantsView = true;
  hello.KnownView = CurrentView.version();
  Link->send(hello);
  if (auto crashes = Hooks.DescribeCrashes(); !crashes.empty())
    Link->send(std::move(crashes));
}

void ViewSubscription::onFrame(fleet::Frame frame) {
  if (auto *update = std::get_if<fleet::ViewUpdate>(&frame))
    return onUpdate(*update);
  if (const auto *hello = std::get_if<fleet::Hello>(&frame))
    return onHello(*hello);
  if (const auto *report = std::get_if<dispatch::CrashReport>(&frame))
    return Hooks.OnCrashes(*report);
  if (const auto *list = std::get_if<fleet::EntryList>(&frame))
    return Hooks.OnEntries(list->Entries);
  if (const auto *current = std::get_if<fleet::ViewCurrent>(&frame))
    onCurrent(*current);
}

void ViewSubscription::onHello(const fleet::Hello &hello) {
  CoreProtocol = hello.Protocol;
  if (CoreProtocol != fleet::ProtocolVersion)
    base::logInfo("view", "the core has another version of the protocol",
                  {{"core", Core},
                   {"core_protocol", CoreProtocol},
                   {"protocol", fleet::ProtocolVersion}});
}

void ViewSubscription::onCurrent(const fleet::ViewCurrent &current) {
  if (current.Version < CurrentView.version())
    return;
  ConfirmedAt = base::readMonotonic() - current.Age;
  // The confirmation of a core that has lost the leader expires soon.
  if (!std::exchange(HasConfirmed, true))
    startTimer();
}

void ViewSubscription::onUpdate(const fleet::ViewUpdate &update) {
  const bool WasKnown = update.Version == CurrentView.version();
  const auto outcome = CurrentView.apply(update);
  if (outcome == fleet::View::Outcome::Applied) {
    const auto now = base::readMonotonic();
    ConfirmedAt = now;
    TransferTime = MinTransferTime;
    base::log(base::LogLevel::Debug, "view", ResultCode::Ok,
              "the view was updated",
              {{"core", Core},
               {"term", update.Version.Term},
               {"number", update.Version.Number},
               {"whole", update.IsWhole},
               {"targets", update.Targets.size()},
               {"routes", update.Items.Routes.size()}});
    Hooks.OnView();
    logItems(update, now);
    return preferOwnDataCentre();
  }
  // Configuration items are merged even if the update was not applied.
  if (!CurrentView.lastChange().Items.empty())
    Hooks.OnView();
  if (outcome == fleet::View::Outcome::Stale && !WasKnown)
    return switchCore("the core has an outdated view");
  if (outcome == fleet::View::Outcome::Gap)
    switchCore("view updates are missing");
}

void ViewSubscription::logItems(const fleet::ViewUpdate &update,
                                base::MonoTime received) const {
  if (CurrentView.lastChange().Items.empty())
    return;
  base::logInfo("view", "the configuration was updated",
                {{"core", Core},
                 {"term", update.Version.Term},
                 {"number", update.Version.Number},
                 {"whole", update.IsWhole},
                 {"routes", CurrentView.lastChange().Items.Routes.size()},
                 {"services", CurrentView.lastChange().Items.Services.size()},
                 {"transfer_ms", base::toMs(received - Link->frameBegan())},
                 {"apply_ms", base::toMs(base::readMonotonic() - received)}});
}

void ViewSubscription::preferOwnDataCentre() {
  const auto best = Selector.choose(CurrentView.cores(), base::readMonotonic());
  if (best == Core)
    return;
  Link->close();
  connect();
}

void ViewSubscription::switchCore(const std::string &reason) {
  base::logWarning(
      "view", ResultCode::PeerUnreachable,
      "switching to another core for the view",
      {{"core", Core},
       {"reason", reason},
       {"unconfirmed_ms", base::toMs(base::readMonotonic() - ConfirmedAt)},
       {"is_receiving", Link && Link->isReceiving()},
       {"term", CurrentView.version().Term},
       {"number", CurrentView.version().Number}});
  if (Link)
    Link->close();
  Link = nullptr;
  Selector.onFault(Core, base::readMonotonic());
  // checkConnection() reconnects later, so that a core that refuses connections
  // is not contacted in a tight loop.
}

void ViewSubscription::replaceCore(const std::string &reason) {
  switchCore(reason);
  connect();
}

void ViewSubscription::send(const fleet::Frame &frame) {
  if (Link && Link->isOpen())
    Link->send(frame);
}

void ViewSubscription::startTimer() {
  auto wait = CheckInterval;
  if (Link)
    wait = std::min(wait, base::delayUntil(confirmationDue()));
  Timer.expires_after(wait);
  // A wait that has ended already can't be cancelled.
  Timer.async_wait([this, alive = Alive](const boost::system::error_code &ec) {
    if (ec || !*alive)
      return;
    checkConnection();
    startTimer();
  });
}

base::MonoTime ViewSubscription::confirmationDue() const {
  // A confirmation can't overtake a frame that is arriving, and another core
  // would begin the view anew.
  const auto arriving = Link->isReceiving()
                            ? std::min(Link->lastHeard() + StallTime,
                                       Link->frameBegan() + TransferTime)
                            : base::MonoTime{};
  const auto due = std::max(ConfirmedAt + SilenceLimit, arriving);
  // There is no better core if all have lost the leader, or none has had one.
  const bool HasOther =
      !CurrentView.isEmpty() &&
      Selector.hasOther(CurrentView.cores(), Core, base::readMonotonic());
  if (!HasOther)
    return std::max(due, FollowedSince + SilenceLimit);
  return HasConfirmed ? due : std::max(due, FollowedSince + FirstConfirmTime);
}

void ViewSubscription::checkConnection() {
  if (!Link)
    return connect();
  const auto now = base::readMonotonic();
  if (now >= confirmationDue()) {
    // Bounds the number of cores that are left for a slow link of this VM.
    if (Link->isReceiving())
      TransferTime = std::min(2 * TransferTime, MaxTransferTime);
    return replaceCore("the core does not confirm the view");
  }
  const bool HasEntries = CoreProtocol >= fleet::EntriesProtocolVersion;
  if (now < NextEntriesAsk || !HasEntries)
    return;
  NextEntriesAsk = now + EntriesInterval;
  send(fleet::EntriesAsk{});
}

} // namespace magnoliamill::entry

// One link at a time, own data centre first.
#include "entry/ViewSource.h"

#include "base/Hash.h"
#include "base/Log.h"

#include <algorithm>

namespace magnoliamill::entry {

using base::ResultCode;

namespace {

/// Cores say every 400 ms that the view is current; three of these may be
/// missing, as a change has to be in force everywhere within 2 s.
constexpr base::Duration SilenceLimit = std::chrono::milliseconds(1250);
constexpr base::Duration CheckInterval = std::chrono::milliseconds(250);

} // namespace

ViewSource::ViewSource(base::EventLoopThread &duty,
                       const fleet::FleetSettings &settings,
                       std::function<void()> changed)
    : Duty(duty), Settings(settings), Changed(std::move(changed)),
      Choice(settings.DataCentre, base::hash64(settings.Vm, 0)),
      Timer(duty.context()) {}

ViewSource::~ViewSource() {
  if (Link)
    Link->close();
}

void ViewSource::start() {
  updateSeeds(Settings.Seeds);
  connect();
  armTimer();
}

void ViewSource::updateSeeds(
    const std::vector<settings::ListenAddress> &seeds) {
  std::vector<std::string> hosts;
  hosts.reserve(seeds.size());
  for (const auto &seed : seeds)
    hosts.push_back(seed.Host);
  Choice.setSeeds(std::move(hosts));
}

void ViewSource::connect() {
  Core = Choice.choose(Known.cores(), base::readMonotonic());
  if (Core.empty())
    return;
  CurrentAt = base::readMonotonic();
  Link = std::make_shared<fleet::Link>(Duty.context());
  fleet::LinkHooks hooks;
  hooks.OnFrame = [this](fleet::Frame frame) { onFrame(std::move(frame)); };
  hooks.OnClosed = [this,
                    weak = std::weak_ptr(Link)](const std::string &reason) {
    if (Link == weak.lock())
      changeCore(reason);
  };
  Link->open(Core, Settings.LinkPort, std::move(hooks));
  fleet::Hello hello;
  hello.Host = Settings.Host;
  hello.DataCentre = Settings.DataCentre;
  hello.WantsView = true;
  hello.KnownView = Known.version();
  Link->send(hello);
}

void ViewSource::onFrame(fleet::Frame frame) {
  if (auto *update = std::get_if<fleet::ViewUpdate>(&frame))
    return onUpdate(*update);
  if (auto *current = std::get_if<fleet::ViewCurrent>(&frame))
    if (current->Version >= Known.version())
      CurrentAt = base::readMonotonic();
}

void ViewSource::onUpdate(const fleet::ViewUpdate &update) {
  const bool WasKnown = update.Version == Known.version();
  const auto outcome = Known.apply(update);
  if (outcome == fleet::View::Outcome::Applied) {
    CurrentAt = base::readMonotonic();
    base::log(base::LogLevel::Debug, "view", ResultCode::Ok,
              "the view has changed",
              {{"core", Core},
               {"term", update.Version.Term},
               {"number", update.Version.Number},
               {"whole", update.IsWhole},
               {"targets", update.Targets.size()},
               {"routes", update.Items.Routes.size()}});
    Changed();
    return considerOwnCentre();
  }
  // Items were merged even so.
  if (!Known.lastChange().Items.empty())
    Changed();
  if (outcome == fleet::View::Outcome::Stale && !WasKnown)
    return changeCore("the core is behind");
  if (outcome == fleet::View::Outcome::Gap)
    changeCore("updates are missing");
}

/// The first view names the cores' data centres.
void ViewSource::considerOwnCentre() {
  const auto best = Choice.choose(Known.cores(), base::readMonotonic());
  if (best == Core)
    return;
  Link->close();
  connect();
}

void ViewSource::changeCore(const std::string &reason) {
  base::logWarning("view", ResultCode::PeerUnreachable,
                   "another core is asked for the view",
                   {{"core", Core},
                    {"reason", reason},
                    {"term", Known.version().Term},
                    {"number", Known.version().Number}});
  if (Link)
    Link->close();
  Link = nullptr;
  Choice.onFault(Core, base::readMonotonic());
  // By the next check: a core that refuses must not be asked in a loop.
}

void ViewSource::send(const fleet::Frame &frame) {
  if (Link && Link->isOpen())
    Link->send(frame);
}

void ViewSource::armTimer() {
  Timer.expires_after(CheckInterval);
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    tick();
    armTimer();
  });
}

void ViewSource::tick() {
  if (!Link)
    return connect();
  if (base::readMonotonic() - CurrentAt > SilenceLimit)
    changeCore("no word that the view is current");
}

} // namespace magnoliamill::entry

// Keeps an entry's view up to date over a link to a core. Switches to another
// core if the current one is lost, stops responding or has an outdated view.
#pragma once

#include "base/EventLoopThread.h"
#include "entry/CoreSelector.h"
#include "fleet/FleetSettings.h"
#include "fleet/Link.h"
#include "fleet/View.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::entry {

/// All methods must be called on the thread of the event loop.
struct ViewSubscriptionHooks {
  /// Called after each applied update.
  std::function<void()> OnView;
  std::function<void(const dispatch::CrashReport &)> OnCrashes;
  /// Called with some of the other entries, every few seconds.
  std::function<void(const std::vector<fleet::VmAddress> &)> OnEntries;
  /// Returns what a core that was just connected has to know.
  std::function<dispatch::CrashReport()> DescribeCrashes;
};

class ViewSubscription {
public:
  ViewSubscription(base::EventLoopThread &loop,
                   const fleet::FleetSettings &settings,
                   ViewSubscriptionHooks hooks);
  ~ViewSubscription();

  void start();
  void updateSeeds(const std::vector<settings::ListenAddress> &seeds);
  const fleet::View &view() const { return CurrentView; }
  /// When the leader last confirmed that the view is current.
  base::MonoTime confirmedAt() const { return ConfirmedAt; }
  /// Sends \p frame to the current core; drops it if there is no open link.
  void send(const fleet::Frame &frame);
  /// Whether the current core understands a StripeLoadReport.
  bool acceptsStripeLoads() const {
    return CoreProtocol >= fleet::StripeLoadProtocolVersion;
  }

private:
  void connect();
  void onFrame(fleet::Frame frame);
  void onUpdate(const fleet::ViewUpdate &update);
  void onHello(const fleet::Hello &hello);
  void onCurrent(const fleet::ViewCurrent &current);
  /// Logs the configuration items of an applied update. \p received is the time
  /// at which it was complete.
  void logItems(const fleet::ViewUpdate &update, base::MonoTime received) const;
  /// Leaves the current core. Another one is contacted with the next check.
  void switchCore(const std::string &reason);
  /// The same, and contacts another core at once.
  void replaceCore(const std::string &reason);
  /// Reconnects if the view names a preferable core: cores' data centres are
  /// known only from the first view.
  void preferOwnDataCentre();
  void startTimer();
  /// When the core is replaced unless it confirms the view before.
  base::MonoTime confirmationDue() const;
  void checkConnection();

  base::EventLoopThread &EventLoop;
  const fleet::FleetSettings &Settings;
  ViewSubscriptionHooks Hooks;
  CoreSelector Selector;
  boost::asio::steady_timer Timer;
  std::shared_ptr<fleet::Link> Link;
  fleet::View CurrentView;
  /// Host of the current core.
  std::string Core;
  /// Version of the protocol that the core understands.
  std::uint16_t CoreProtocol = fleet::FirstProtocolVersion;
  /// When the core was contacted.
  base::MonoTime FollowedSince;
  /// The core has sent a confirmation since then, maybe an old one.
  bool HasConfirmed = false;
  /// When the leader last confirmed that the view is current.
  base::MonoTime ConfirmedAt;
  base::MonoTime NextEntriesAsk;
  /// How long a frame may take. Rises with each core that is left while it
  /// sends one, until an update is applied.
  base::Duration TransferTime;
  /// Set to false by the destructor.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace magnoliamill::entry

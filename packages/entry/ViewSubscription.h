// An entry's link to a core: follows the view, and changes to another core when
// the one in use is lost, silent or behind.
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

/// Everything on the duty's thread.
class ViewSubscription {
public:
  /// \p changed is called after each update that was applied.
  ViewSubscription(base::EventLoopThread &loop,
                   const fleet::FleetSettings &settings,
                   std::function<void()> changed);
  ~ViewSubscription();

  void start();
  void updateSeeds(const std::vector<settings::ListenAddress> &seeds);
  const fleet::View &view() const { return CurrentView; }
  /// Sends to the core in use; dropped while there is none.
  void send(const fleet::Frame &frame);

private:
  void connect();
  void onFrame(fleet::Frame frame);
  void onUpdate(const fleet::ViewUpdate &update);
  void switchCore(const std::string &reason);
  void preferOwnDataCentre();
  void startTimer();
  void checkConnection();

  base::EventLoopThread &EventLoop;
  const fleet::FleetSettings &Settings;
  std::function<void()> Changed;
  CoreSelector Selector;
  boost::asio::steady_timer Timer;
  std::shared_ptr<fleet::Link> Link;
  fleet::View CurrentView;
  /// The core in use.
  std::string Core;
  /// When the view was last known to be current.
  base::MonoTime ConfirmedAt;
};

} // namespace magnoliamill::entry

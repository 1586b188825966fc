// An entry's link to a core: follows the view, and changes to another core when
// the one in use is lost, silent or behind.
#pragma once

#include "base/EventLoopThread.h"
#include "entry/CoreChoice.h"
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
class ViewSource {
public:
  /// \p changed is called after each update that was applied.
  ViewSource(base::EventLoopThread &duty, const fleet::FleetSettings &settings,
             std::function<void()> changed);
  ~ViewSource();

  void start();
  void updateSeeds(const std::vector<settings::ListenAddress> &seeds);
  const fleet::View &view() const { return Known; }
  /// Sends to the core in use; dropped while there is none.
  void send(const fleet::Frame &frame);

private:
  void connect();
  void onFrame(fleet::Frame frame);
  void onUpdate(const fleet::ViewUpdate &update);
  void changeCore(const std::string &reason);
  void considerOwnCentre();
  void armTimer();
  void tick();

  base::EventLoopThread &Duty;
  const fleet::FleetSettings &Settings;
  std::function<void()> Changed;
  CoreChoice Choice;
  boost::asio::steady_timer Timer;
  std::shared_ptr<fleet::Link> Link;
  fleet::View Known;
  /// The core in use.
  std::string Core;
  /// When the view was last known to be current.
  base::MonoTime CurrentAt;
};

} // namespace magnoliamill::entry

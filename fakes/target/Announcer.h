// Announces a target to the system at regular intervals.
#pragma once

#include "base/EventLoopThread.h"
#include "gateway/TargetClient.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::fakes {

/// Sends announcements to one entry VM and moves on to the next after a
/// failure.
class Announcer : public std::enable_shared_from_this<Announcer> {
public:
  /// \p compose returns the JSON text; when it is empty no announcement is
  /// sent.
  Announcer(base::EventLoopThread &loop, gateway::TargetClient &client,
            std::vector<gateway::TargetAddress> entries,
            std::function<std::string()> compose);

  void start();
  void stop();

private:
  void announce();
  void schedule(base::Duration delay);

  gateway::TargetClient &Client;
  std::vector<gateway::TargetAddress> Entries;
  std::function<std::string()> Compose;
  boost::asio::steady_timer Timer;
  std::size_t Next = 0;
  bool IsStopped = false;
};

/// Parses "host:port,host:port". Malformed items are skipped.
std::vector<gateway::TargetAddress> parseAddresses(const std::string &text);

} // namespace magnoliamill::fakes

// Tells the system again and again that this target is there.
#pragma once

#include "base/EventLoopThread.h"
#include "gateway/TargetClient.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::fakes {

/// Announces to one entry VM; after a failure to the next one.
class Announcer : public std::enable_shared_from_this<Announcer> {
public:
  /// \p compose gives the JSON text, or an empty one to stay silent.
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

/// Reads "host:port,host:port"; entries that are malformed are left out.
std::vector<gateway::TargetAddress> parseAddresses(const std::string &text);

} // namespace magnoliamill::fakes

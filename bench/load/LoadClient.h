// Sends the planned requests at their due times over persistent connections.
#pragma once

#include "bench/load/LoadPlan.h"
#include "bench/load/LoadReport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::bench {

struct ClientConfig {
  std::vector<boost::asio::ip::tcp::endpoint> Endpoints;
  /// Path of every request.
  std::string Path = "/";
  std::uint32_t DeadlineMs = 0;
  /// Prefix of idempotency keys, which makes them differ between runs.
  std::string RunName;
};

/// A request that is due while no connection is idle opens a new connection, so
/// that it never waits for another request.
class LoadClient {
public:
  LoadClient(boost::asio::io_context &context, ClientConfig config,
             std::vector<PlannedRequest> plan,
             std::vector<std::string> accounts, LoadReport &report);
  ~LoadClient();
  /// Begins to send. The context runs out of work when all requests have ended.
  void start();

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void sendDue();
  void send(std::size_t number);
  void write(const ConnectionPtr &connection);
  void read(const ConnectionPtr &connection);
  void handleAnswer(const ConnectionPtr &connection);
  void recordFailure(const ConnectionPtr &connection, const char *reason);
  void prepareRequest(Connection &connection) const;

  boost::asio::io_context &Context;
  ClientConfig Config;
  std::vector<PlannedRequest> Plan;
  std::vector<std::string> ClientAccounts;
  LoadReport &Report;
  boost::asio::steady_timer Timer;
  std::chrono::steady_clock::time_point StartedAt;
  std::size_t Next = 0;
  // Idle connections by endpoint.
  std::vector<std::vector<ConnectionPtr>> Idle;
};

} // namespace magnoliamill::bench

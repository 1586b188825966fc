// Open connections to targets, kept per address for reuse.
#pragma once

#include "base/Time.h"
#include "gateway/TargetClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace magnoliamill::gateway::internal {

/// One connection. It belongs to one call at a time.
struct TargetConnection {
  explicit TargetConnection(boost::asio::io_context &context)
      : Socket(context) {}

  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  /// How long the target keeps the connection while it is idle, if it says so.
  std::optional<base::Duration> KeepAliveTimeout;
  /// When the last answer was complete.
  base::MonoTime IdleSince;
  /// The pool's generation of its address when it was opened.
  std::uint64_t Generation = 0;
  /// True when it has served a call before.
  bool IsReused = false;
};
using ConnectionPtr = std::unique_ptr<TargetConnection>;

class ConnectionPool {
public:
  ConnectionPool(boost::asio::io_context &context, TargetClientConfig config)
      : Context(context), Config(config) {}

  /// The most recently used idle connection, null when there is none that may
  /// be used. \p idempotent allows connections that were idle for long.
  ConnectionPtr takeIdle(const TargetAddress &address, bool idempotent,
                         base::MonoTime now);
  /// A connection that is still to be connected; null at the limit.
  ConnectionPtr open(const TargetAddress &address);
  /// Takes back a connection whose last answer is complete.
  void release(const TargetAddress &address, ConnectionPtr connection,
               base::MonoTime now);
  /// Closes a connection that can't be used again.
  void drop(const TargetAddress &address, ConnectionPtr connection);
  /// See TargetClient::suspect.
  void invalidateConnections(const TargetAddress &address);
  /// Closes what was idle for too long.
  void closeExpired(base::MonoTime now);

private:
  struct ByAddress {
    bool operator()(const TargetAddress &left,
                    const TargetAddress &right) const {
      return left.Port != right.Port ? left.Port < right.Port
                                     : left.Host < right.Host;
    }
  };
  struct Entry {
    /// Ordered by IdleSince, most recent last.
    std::vector<ConnectionPtr> Idle;
    std::size_t InUse = 0;
    /// Connections of an older generation are suspect.
    std::uint64_t Generation = 0;
  };

  boost::asio::io_context &Context;
  TargetClientConfig Config;
  std::map<TargetAddress, Entry, ByAddress> Entries;
};

} // namespace magnoliamill::gateway::internal

// A pool of open connections to targets, per address.
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

/// A connection to a target; it serves one call at a time.
struct TargetConnection {
  explicit TargetConnection(boost::asio::io_context &context)
      : Socket(context) {}

  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  /// Idle timeout announced by the target (Keep-Alive: timeout), if any.
  std::optional<base::Duration> KeepAliveTimeout;
  /// Time at which the last answer was complete.
  base::MonoTime IdleSince;
  /// The generation of its address at the time it was opened.
  std::uint64_t Generation = 0;
  /// True if it was idle in the pool before the present call.
  bool IsReused = false;
};
/// Shared with the operations on the socket: one whose first part is done goes
/// on with the next part after the connection was dropped.
using ConnectionPtr = std::shared_ptr<TargetConnection>;

/// Keeps idle connections for reuse and limits the connections per address.
class ConnectionPool {
public:
  ConnectionPool(boost::asio::io_context &context, TargetClientConfig config)
      : Context(context), Config(config) {}

  /// Takes the most recently used idle connection, or null if there is none
  /// that may be used. \p idempotent allows connections that were idle for up
  /// to MaxIdle instead of MaxIdleForNonIdempotent.
  ConnectionPtr takeIdle(const TargetAddress &address, bool idempotent,
                         base::MonoTime now);
  /// Returns a connection that is not connected yet, in place of the longest
  /// idle one if a limit is reached; null if all are in use.
  ConnectionPtr open(const TargetAddress &address);
  /// Returns a connection to the pool after its answer is complete.
  void release(const TargetAddress &address, ConnectionPtr connection,
               base::MonoTime now);
  /// Closes a connection that can't be reused.
  void drop(const TargetAddress &address, ConnectionPtr connection);
  /// See TargetClient::invalidateConnections().
  void invalidateConnections(const TargetAddress &address);
  /// Closes the idle connections that may no longer be used.
  void closeExpired(base::MonoTime now);

private:
  std::size_t countOpen() const;
  /// Closes the connection that was idle for longest. Returns false if none is
  /// idle.
  bool closeLongestIdle();
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
    /// Connections of an older generation are not reused.
    std::uint64_t Generation = 0;
  };

  boost::asio::io_context &Context;
  TargetClientConfig Config;
  std::map<TargetAddress, Entry, ByAddress> Entries;
};

} // namespace magnoliamill::gateway::internal

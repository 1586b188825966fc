// Reuse of idle connections, most recently used first.
#include "gateway/internal/ConnectionPool.h"

#include <algorithm>
#include <sys/socket.h>

namespace magnoliamill::gateway::internal {
namespace {

/// Returns false if the target has closed the connection or has sent
/// unsolicited data.
bool isOpenAndIdle(boost::asio::ip::tcp::socket &socket) {
  char byte = 0;
  const auto n =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Fraction of the target's idle timeout during which a connection is reused.
/// The rest covers the network latency, so that a request does not arrive just
/// as the target closes the connection.
constexpr double UsableKeepAliveFraction = 0.7;

bool isExpired(const TargetConnection &connection, base::MonoTime now) {
  if (!connection.KeepAliveTimeout)
    return false;
  const auto used = std::chrono::duration_cast<base::Duration>(
      *connection.KeepAliveTimeout * UsableKeepAliveFraction);
  return now - connection.IdleSince > used;
}

} // namespace

ConnectionPtr ConnectionPool::takeIdle(const TargetAddress &address,
                                       bool idempotent, base::MonoTime now) {
  auto &entry = Entries[address];
  const auto limit =
      idempotent ? Config.MaxIdle : Config.MaxIdleForNonIdempotent;
  while (!entry.Idle.empty()) {
    // The last one is the most recently used: if it is too old, all are.
    if (now - entry.Idle.back()->IdleSince > limit)
      return nullptr;
    ConnectionPtr connection = std::move(entry.Idle.back());
    entry.Idle.pop_back();
    if (isExpired(*connection, now) || !isOpenAndIdle(connection->Socket))
      continue;
    ++entry.InUse;
    connection->IsReused = true;
    return connection;
  }
  return nullptr;
}

ConnectionPtr ConnectionPool::open(const TargetAddress &address) {
  auto &entry = Entries[address];
  if (entry.InUse + entry.Idle.size() >= Config.MaxConnectionsPerTarget) {
    if (entry.Idle.empty())
      return nullptr;
    entry.Idle.erase(entry.Idle.begin());
  }
  if (countOpen() >= Config.MaxConnections && !closeLongestIdle())
    return nullptr;
  ++entry.InUse;
  auto connection = std::make_shared<TargetConnection>(Context);
  connection->Generation = entry.Generation;
  return connection;
}

std::size_t ConnectionPool::countOpen() const {
  std::size_t open = 0;
  for (const auto &[address, entry] : Entries)
    open += entry.InUse + entry.Idle.size();
  return open;
}

bool ConnectionPool::closeLongestIdle() {
  Entry *oldest = nullptr;
  for (auto &[address, entry] : Entries)
    if (!entry.Idle.empty() && (!oldest || entry.Idle.front()->IdleSince <
                                               oldest->Idle.front()->IdleSince))
      oldest = &entry;
  if (oldest)
    oldest->Idle.erase(oldest->Idle.begin());
  return oldest != nullptr;
}

void ConnectionPool::release(const TargetAddress &address,
                             ConnectionPtr connection, base::MonoTime now) {
  auto &entry = Entries[address];
  if (connection->Generation != entry.Generation)
    return drop(address, std::move(connection));
  --entry.InUse;
  connection->IdleSince = now;
  entry.Idle.push_back(std::move(connection));
}

void ConnectionPool::drop(const TargetAddress &address,
                          ConnectionPtr connection) {
  if (!connection)
    return;
  --Entries[address].InUse;
  boost::system::error_code ec;
  connection->Socket.close(ec);
}

void ConnectionPool::invalidateConnections(const TargetAddress &address) {
  auto &entry = Entries[address];
  ++entry.Generation;
  entry.Idle.clear();
}

void ConnectionPool::closeExpired(base::MonoTime now) {
  for (auto it = Entries.begin(); it != Entries.end();) {
    auto &entry = it->second;
    std::erase_if(entry.Idle, [&](const ConnectionPtr &connection) {
      return now - connection->IdleSince > Config.MaxIdle ||
             isExpired(*connection, now) || !isOpenAndIdle(connection->Socket);
    });
    // The generation is needed only while connections are open.
    const bool IsUnused = entry.Idle.empty() && entry.InUse == 0;
    it = IsUnused ? Entries.erase(it) : std::next(it);
  }
}

} // namespace magnoliamill::gateway::internal

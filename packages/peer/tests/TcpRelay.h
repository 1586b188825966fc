// Test helper: a TCP relay on loopback that can reset connections or discard
// their traffic.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace magnoliamill::peer::tests {

/// Listens on 127.0.0.1 and forwards bytes to and from a port on loopback, on
/// its own thread. Thread-safe; each change is in effect when its function
/// returns.
class TcpRelay {
public:
  /// Forwards to port \p target at \p host; listens on \p port (0: chosen by
  /// the system).
  explicit TcpRelay(std::uint16_t target, const std::string &host = "127.0.0.1",
                    std::uint16_t port = 0);
  ~TcpRelay();

  std::uint16_t port() const;
  /// Resets all connections; new connections work.
  void cut();
  /// Discards all further traffic of the connections that are open now; new
  /// connections work.
  void discardOnOpenConnections();
  /// Discards all traffic of current and new connections; connections opened
  /// after heal() work.
  void partition();
  /// Like partition(), only for connections from the address \p host.
  void partitionFrom(const std::string &host);
  void heal();
  /// Stops or resumes reading from the target; while stopped, its writes block.
  void pauseAnswers(bool paused);
  /// Connections accepted so far.
  std::size_t countAccepted() const;
  /// Bytes forwarded from the target to its clients.
  std::size_t countAnswerBytes() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::peer::tests

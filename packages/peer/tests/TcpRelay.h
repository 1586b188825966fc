// Test side: a TCP relay on loopback that can cut connections or swallow what
// they carry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace magnoliamill::peer::tests {

/// Listens on 127.0.0.1 and passes bytes to and from a port on loopback, on a
/// thread of its own. Safe from any thread; each change is in force when its
/// function returns.
class TcpRelay {
public:
  /// Passes to \p target at \p host; listens on \p port, 0: the system's
  /// choice.
  explicit TcpRelay(std::uint16_t target, const std::string &host = "127.0.0.1",
                    std::uint16_t port = 0);
  ~TcpRelay();

  std::uint16_t port() const;
  /// Resets all connections; new ones work.
  void cut();
  /// Present connections stay open but carry nothing from now on; new ones
  /// work.
  void swallowPresent();
  /// Present and new connections carry nothing; healing makes new ones work.
  void partition();
  /// Like partition(), for those only who connect from the address \p host.
  void partitionFrom(const std::string &host);
  void heal();
  /// Stops reading what comes from the target, so that its sending blocks.
  void pauseAnswers(bool paused);
  /// Connections accepted so far.
  std::size_t countAccepted() const;
  /// Bytes passed from the target to those who connected.
  std::size_t countAnswerBytes() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::peer::tests

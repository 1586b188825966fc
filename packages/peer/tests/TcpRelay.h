// Test side: a TCP relay on loopback that can cut connections or swallow what
// they carry.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace magnoliamill::peer::tests {

/// Listens on a port of the system's choice and passes bytes to and from a
/// port on loopback, on a thread of its own. Safe from any thread; each change
/// is in force when its function returns.
class TcpRelay {
public:
  explicit TcpRelay(std::uint16_t target);
  ~TcpRelay();

  std::uint16_t port() const;
  /// Resets all connections; new ones work.
  void cut();
  /// Present connections stay open but carry nothing from now on; new ones
  /// work.
  void swallowPresent();
  /// Present and new connections carry nothing; healing makes new ones work.
  void partition();
  void heal();
  /// Stops reading what comes from the target, so that its sending blocks.
  void holdAnswers(bool hold);
  /// Connections accepted so far.
  std::size_t countAccepted() const;
  /// Bytes passed from the target to those who connected.
  std::size_t countAnswerBytes() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace magnoliamill::peer::tests

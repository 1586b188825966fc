// What the gateway's tests share: plain sockets, a server that records bytes,
// and a sink that collects an answer.
#pragma once

#include "base/EventLoopThread.h"
#include "base/Time.h"
#include "gateway/HttpGateway.h"
#include "gateway/TargetClient.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace magnoliamill::gateway::tests {

/// Waits until \p condition holds; false after 10 s.
bool waitFor(const std::function<bool()> &condition);

/// A caller's socket, blocking, with a time limit of 10 s on each read.
class RawClient {
public:
  explicit RawClient(std::uint16_t port);
  /// False when the other end has closed.
  bool send(std::string_view bytes);
  /// Reads until \p delimiter was read or the connection ended. What follows
  /// the mark stays for the next call.
  std::string readUntil(std::string_view delimiter);
  /// Reads one answer with Content-Length: head and body.
  std::string readAnswer();
  /// Waits for some bytes and gives all that are there; empty at the end.
  std::string readAvailable();
  /// Reads up to the end of the connection.
  std::string readAll() { return readUntil(std::string_view()); }
  /// True when the last read ended by an orderly close, not a reset.
  bool endedOrderly() const { return EndedOrderly; }
  void close();
  void closeWithReset();

private:
  bool readSome();
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket;
  std::string Received;
  bool EndedOrderly = false;
};

/// Accepts connections one after the other, each on a thread of its own, and
/// plays a script to them.
class ScriptedServer {
public:
  /// One connection as the script sees it.
  class Peer {
  public:
    Peer(ScriptedServer &server, boost::asio::ip::tcp::socket socket)
        : Server(server), Socket(std::move(socket)) {}
    /// Reads a whole request (by Content-Length); empty at the end.
    std::string readRequest();
    void send(std::string_view bytes);
    /// Reads until the other end closes.
    void awaitClose();
    /// Ends the connection in both directions.
    void close();

  private:
    friend class ScriptedServer;
    ScriptedServer &Server;
    boost::asio::ip::tcp::socket Socket;
    std::string Received;
  };
  using Script = std::function<void(Peer &, std::size_t number)>;

  explicit ScriptedServer(Script script);
  ~ScriptedServer();
  TargetAddress address() const;
  std::size_t countConnections() const { return Accepted.load(); }
  /// All bytes that came, over all connections.
  std::string bytes() const;

private:
  void run();

  Script RunScript;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<std::size_t> Accepted{0};
  std::atomic<bool> Stopping{false};
  mutable std::mutex Mutex;
  std::string Bytes;
  std::vector<std::shared_ptr<Peer>> Peers;
  std::vector<std::thread> Threads;
  std::thread AcceptThread;
};

/// Collects one answer of the target client; any thread may look at it.
class AnswerCollector {
public:
  AnswerCollector() : Data(std::make_shared<Contents>()) {}
  protocol::AnswerSink makeSink(bool confirm = true);
  std::function<void(TargetOutcome)> makeDone();
  /// Waits for done; false after 10 s.
  bool awaitDone();
  TargetOutcome outcome() const;
  std::string body() const;
  std::uint16_t status() const;
  int countDone() const;
  bool isEnded() const;

private:
  struct Contents {
    std::mutex Mutex;
    std::optional<protocol::AnswerHead> Head;
    std::string Body;
    bool IsEnded = false;
    int DoneCount = 0;
    TargetOutcome Outcome;
  };
  std::shared_ptr<Contents> Data;
};

/// A duty that runs for the life of the object.
struct RunningDuty {
  RunningDuty() : Duty("test", 1024) { Duty.start(); }
  ~RunningDuty() { Duty.stop(); }
  /// Runs \p task on the duty and waits for it.
  void run(const std::function<void()> &task);

  base::EventLoopThread Duty;
};

} // namespace magnoliamill::gateway::tests

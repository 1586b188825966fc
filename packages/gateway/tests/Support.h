// Shared test helpers: plain sockets, a server that records what it receives,
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

/// Upper limit of the bytes that the buffers of a connection hold on both
/// sides: what a peer accepts beyond the bytes that were read from it.
constexpr std::size_t MaxSocketBufferBytes = 40u << 20;

/// Waits until \p condition holds; false after 10 s.
bool waitFor(const std::function<bool()> &condition);

/// A blocking client socket with a timeout of 10 s for each read.
class RawClient {
public:
  explicit RawClient(std::uint16_t port);
  /// Returns false if the peer has closed the connection.
  bool send(std::string_view bytes);
  /// Reads up to and including \p delimiter, or to the end of the connection.
  /// Data after the delimiter stays buffered for the next call.
  std::string readUntil(std::string_view delimiter);
  /// Reads one answer with Content-Length: head and body.
  std::string readAnswer();
  /// Waits for data and returns all that is available; empty at the end of the
  /// connection.
  std::string readAvailable();
  /// Reads to the end of the connection.
  std::string readAll() { return readUntil(std::string_view()); }
  /// True if the last read ended with an orderly close, not with a reset.
  bool endedOrderly() const { return EndedOrderly; }
  void close();
  /// Closes the connection with a reset instead of an orderly close.
  void closeWithReset();

private:
  bool readSome();
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket;
  std::string Received;
  bool EndedOrderly = false;
};

/// Accepts connections and runs a script for each of them on its own thread.
class ScriptedServer {
public:
  /// One connection as the script sees it.
  class Peer {
  public:
    Peer(ScriptedServer &server, boost::asio::ip::tcp::socket socket)
        : Server(server), Socket(std::move(socket)) {}
    /// Reads a whole request (by Content-Length); empty at the end of the
    /// connection.
    std::string readRequest();
    void send(std::string_view bytes);
    /// Sends \p bytes again and again until the peer closes the connection.
    /// Returns the number of bytes that the socket has accepted.
    std::size_t sendEndlessly(std::string_view bytes);
    /// Reads until the peer closes the connection.
    void awaitClose();
    /// Shuts the connection down in both directions.
    void close();

  private:
    friend class ScriptedServer;
    ScriptedServer &Server;
    boost::asio::ip::tcp::socket Socket;
    std::string Received;
  };
  /// \p number counts the accepted connections from 1.
  using Script = std::function<void(Peer &, std::size_t number)>;

  explicit ScriptedServer(Script script);
  ~ScriptedServer();
  TargetAddress address() const;
  std::size_t countConnections() const { return Accepted.load(); }
  /// Returns the bytes received on all connections.
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

/// Collects one answer of the target client; may be read from any thread.
class AnswerCollector {
public:
  AnswerCollector() : Data(std::make_shared<Contents>()) {}
  /// The sink requests further chunks only if \p confirm is true.
  protocol::AnswerSink makeSink(bool confirm = true);
  std::function<void(TargetOutcome)> makeDone();
  /// Waits until done was called; false after 10 s.
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

/// An event loop thread that runs for the lifetime of the object.
struct ScopedEventLoop {
  ScopedEventLoop() : EventLoop("test", 1024) { EventLoop.start(); }
  ~ScopedEventLoop() { EventLoop.stop(); }
  /// Runs \p task on the event loop and waits until it has run.
  void run(const std::function<void()> &task);

  base::EventLoopThread EventLoop;
};

} // namespace magnoliamill::gateway::tests

// An HTTP/1.1 server on one event loop: listener, limits, timeouts, drain.
// Requests are passed to a handler without interpreting them.
#pragma once

#include "base/EventLoopThread.h"
#include "base/Result.h"
#include "gateway/HttpGateway.h"
#include "gateway/InputBudget.h"
#include "gateway/MessageMemory.h"
#include "protocol/Messages.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliamill::gateway {

namespace internal {
class HttpConnection;
}

/// A complete request as received.
struct HttpCall {
  std::string Method;
  /// Path and query.
  std::string Target;
  std::vector<protocol::HttpHeader> Headers;
  std::string Body;
  /// IP address of the caller.
  std::string From;
  /// Memory reserved for the body; null if the server has no limit for all.
  MessageMemory::ReservationPtr Memory;
};

/// Answers \p call through the sink, from any thread. The returned hook (may be
/// empty) is called if the connection closes before the end of the answer.
using CallHandler =
    std::function<protocol::CancelHook(HttpCall call, protocol::AnswerSink)>;

/// Sends a complete answer; its length is set to the size of \p body.
void sendAnswer(const protocol::AnswerSink &sink, protocol::AnswerHead head,
                std::string body = {});

/// Accepts connections and passes their requests to the handler.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
  HttpServer(base::EventLoopThread &loop, GatewayConfig config,
             CallHandler handler);

  /// Opens the listener. Error: ListenFailed.
  base::Result<void> start();
  /// See HttpGateway::drain.
  void drain(std::function<void()> done);
  /// Closes each connection after its next answer; the listener stays open.
  void endKeepAlive();
  /// Replaces the limits; they apply to what is received from now on.
  void setLimits(const HttpLimits &limits) { Config.Limits = limits; }
  /// Bounds the bodies of all requests together. To be called before start().
  void limitMemory(std::shared_ptr<MessageMemory> memory) {
    Memory = std::move(memory);
  }
  /// Closes the listener and aborts all connections.
  void close();
  /// Returns the port listened on; 0 before start().
  std::uint16_t port() const { return Port; }
  std::size_t countConnections() const { return Count.load(); }

  // Used by the connections, on the event loop.
  base::EventLoopThread &eventLoop() { return EventLoop; }
  const HttpLimits &limits() const { return Config.Limits; }
  /// Null if bodies are bounded one by one only.
  MessageMemory *memory() const { return Memory.get(); }
  InputBudget &input() { return Input; }
  /// True while more input may be read ahead of its use.
  bool hasInputRoom() const {
    return Input.used() < Config.Limits.MaxInputBytes / 2;
  }
  /// Refuses the connections that hold most input until the rest is within the
  /// limit. Returns false if what is left over it can't be refused.
  bool limitInput();
  bool isDraining() const { return Draining; }
  bool mayKeepAlive() const { return !Draining && !EndingKeepAlive; }
  protocol::CancelHook handle(HttpCall call, protocol::AnswerSink sink);
  void remove(const internal::HttpConnection *connection);

private:
  void accept();
  void onAccepted(boost::asio::ip::tcp::socket socket);
  /// Accepts the connections that wait for it: those left when the listener
  /// closes would be reset, with the requests that they have sent.
  void acceptPending();
  /// Closes a connection in favour of a new one, see
  /// HttpConnection::canBeReplaced().
  void makeRoom();
  void scheduleSweep();
  void sweep();
  void reportDrained();

  base::EventLoopThread &EventLoop;
  GatewayConfig Config;
  CallHandler Handler;
  std::shared_ptr<MessageMemory> Memory;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer SweepTimer;
  boost::asio::steady_timer AcceptTimer;
  // Used by the connections, so declared before them.
  InputBudget Input;
  std::unordered_map<const internal::HttpConnection *,
                     std::shared_ptr<internal::HttpConnection>>
      Connections;
  std::atomic<std::size_t> Count{0};
  std::uint16_t Port = 0;
  bool Draining = false;
  bool EndingKeepAlive = false;
  bool Closed = false;
  std::function<void()> OnDrained;
};

} // namespace magnoliamill::gateway

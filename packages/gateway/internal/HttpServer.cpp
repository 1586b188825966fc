// Accepting connections, enforcing their time limits, and draining.
#include "gateway/HttpServer.h"

#include "base/Listener.h"
#include "base/Log.h"
#include "gateway/internal/AnswerInbox.h"
#include "gateway/internal/HttpConnection.h"

#include <boost/asio/post.hpp>

namespace magnoliamill::gateway {

using base::ResultCode;
using boost::asio::ip::tcp;
using internal::HttpConnection;

namespace {

/// Pause after a failed accept, usually caused by a lack of file descriptors.
constexpr auto AcceptPause = std::chrono::milliseconds(100);
/// Number of connections over the limit that are answered with a failure; any
/// further ones are closed without an answer.
constexpr std::size_t MaxRefusedConnections = 16;

} // namespace

void sendAnswer(const protocol::AnswerSink &sink, protocol::AnswerHead head,
                std::string body) {
  head.Length = body.size();
  sink.Head(std::move(head));
  if (!body.empty())
    sink.Chunk(std::move(body), [] {});
  sink.End();
}

HttpServer::HttpServer(base::EventLoopThread &loop, GatewayConfig config,
                       CallHandler handler)
    : EventLoop(loop), Config(std::move(config)), Handler(std::move(handler)),
      Acceptor(loop.context()), SweepTimer(loop.context()),
      AcceptTimer(loop.context()) {}

base::Result<void> HttpServer::start() {
  auto listening = base::openListener(Acceptor, Config.Host, Config.Port);
  if (!listening)
    return listening;
  boost::system::error_code ec;
  Port = Acceptor.local_endpoint(ec).port();
  boost::asio::post(EventLoop.context(), [self = shared_from_this()] {
    self->accept();
    self->scheduleSweep();
  });
  return base::ok();
}

void HttpServer::accept() {
  if (Draining || Closed)
    return;
  Acceptor.async_accept([self = shared_from_this()](
                            boost::system::error_code ec, tcp::socket socket) {
    if (!ec) {
      self->onAccepted(std::move(socket));
      return self->accept();
    }
    if (self->Draining || self->Closed)
      return;
    base::logWarning("gateway", ResultCode::Internal, "accept failed",
                     {{"error", boost::json::value(ec.message().c_str())}});
    self->AcceptTimer.expires_after(AcceptPause);
    self->AcceptTimer.async_wait(
        [self](boost::system::error_code) { self->accept(); });
  });
}

void HttpServer::acceptPending() {
  boost::system::error_code ec;
  Acceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(EventLoop.context());
    Acceptor.accept(socket, ec);
    if (!ec)
      onAccepted(std::move(socket));
  }
}

void HttpServer::onAccepted(tcp::socket socket) {
  const std::size_t limit = Config.Limits.MaxConnections;
  if (Connections.size() >= limit)
    makeRoom();
  if (Connections.size() >= limit + MaxRefusedConnections)
    return;
  auto connection =
      std::make_shared<HttpConnection>(shared_from_this(), std::move(socket));
  Connections.emplace(connection.get(), connection);
  Count = Connections.size();
  if (Connections.size() > limit)
    return connection->refuse({ResultCode::TooManyConnections,
                               "the limit of connections to this VM is reached",
                               0});
  connection->start();
}

void HttpServer::makeRoom() {
  const base::MonoTime now = base::readMonotonic();
  std::shared_ptr<HttpConnection> longest;
  for (const auto &[key, connection] : Connections)
    if (connection->canBeReplaced(now) &&
        (!longest || connection->isReplacedBefore(*longest)))
      longest = connection;
  if (longest)
    longest->onReplaced();
}

bool HttpServer::limitInput() {
  while (Input.used() > Config.Limits.MaxInputBytes) {
    std::shared_ptr<HttpConnection> largest;
    for (const auto &[key, connection] : Connections)
      if (connection->refusableInput() >
          (largest ? largest->refusableInput() : 0))
        largest = connection;
    if (!largest)
      return false;
    largest->onInputLimit();
  }
  return true;
}

protocol::CancelHook HttpServer::handle(HttpCall call,
                                        protocol::AnswerSink sink) {
  return Handler(std::move(call), std::move(sink));
}

void HttpServer::remove(const HttpConnection *connection) {
  Connections.erase(connection);
  Count = Connections.size();
  reportDrained();
}

void HttpServer::scheduleSweep() {
  if (Closed)
    return;
  SweepTimer.expires_after(Config.Limits.SweepInterval);
  SweepTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code ec) {
        if (ec)
          return;
        self->sweep();
        self->scheduleSweep();
      });
}

void HttpServer::sweep() {
  const base::MonoTime now = base::readMonotonic();
  std::vector<std::shared_ptr<HttpConnection>> overdue;
  for (const auto &[key, connection] : Connections)
    if (connection->isOverdue(now))
      overdue.push_back(connection);
  for (const auto &connection : overdue)
    connection->onOverdue();
}

void HttpServer::drain(std::function<void()> done) {
  internal::runOnEventLoop(
      EventLoop, [self = shared_from_this(), done = std::move(done)] {
        self->acceptPending();
        self->Draining = true;
        self->OnDrained = done;
        boost::system::error_code ec;
        self->Acceptor.close(ec);
        for (const auto &[key, connection] : self->Connections)
          connection->onDrain();
        self->reportDrained();
      });
}

void HttpServer::endKeepAlive() {
  EndingKeepAlive = true;
  for (const auto &[key, connection] : Connections)
    connection->onEndKeepAlive();
}

void HttpServer::reportDrained() {
  if (!Draining || !Connections.empty())
    return;
  if (auto done = std::exchange(OnDrained, nullptr))
    boost::asio::post(EventLoop.context(), std::move(done));
}

void HttpServer::close() {
  boost::asio::post(EventLoop.context(), [self = shared_from_this()] {
    self->Closed = true;
    boost::system::error_code ec;
    self->Acceptor.close(ec);
    self->SweepTimer.cancel();
    auto closing = std::move(self->Connections);
    self->Connections.clear();
    for (const auto &[key, connection] : closing)
      connection->abort();
    self->Handler = nullptr;
  });
}

} // namespace magnoliamill::gateway

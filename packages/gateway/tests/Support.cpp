// Blocking sockets and answer collection for tests.
#include "Support.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <sys/socket.h>

namespace magnoliamill::gateway::tests {

using boost::asio::ip::tcp;

namespace {

/// Size of the writes of an endless answer.
constexpr std::size_t BlockBytes = 16u << 10;
constexpr auto WaitLimit = std::chrono::seconds(10);

std::size_t readContentLength(std::string_view head) {
  const std::size_t at = head.find("Content-Length: ");
  if (at == std::string_view::npos)
    return 0;
  return static_cast<std::size_t>(
      std::stoul(std::string(head.substr(at + 16))));
}

void setReadLimit(tcp::socket &socket) {
  const timeval limit{10, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof limit);
}

/// Reads with recv(), which honours the timeout of the socket. Returns -1 on
/// failure and 0 at the end of the connection.
ssize_t receive(tcp::socket &socket, std::string &into) {
  char buffer[65536];
  const ssize_t n = ::recv(socket.native_handle(), buffer, sizeof buffer, 0);
  if (n > 0)
    into.append(buffer, static_cast<std::size_t>(n));
  return n;
}

bool sendAll(tcp::socket &socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(socket.native_handle(), bytes.data(), bytes.size(),
                             MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

} // namespace

bool waitFor(const std::function<bool()> &condition) {
  const auto end = std::chrono::steady_clock::now() + WaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

RawClient::RawClient(std::uint16_t port) : Socket(Context) {
  Socket.connect({boost::asio::ip::address_v4::loopback(), port});
  Socket.set_option(tcp::no_delay(true));
  setReadLimit(Socket);
}

bool RawClient::send(std::string_view bytes) { return sendAll(Socket, bytes); }

bool RawClient::readSome() {
  const ssize_t n = receive(Socket, Received);
  EndedOrderly = n == 0;
  return n > 0;
}

std::string RawClient::readUntil(std::string_view delimiter) {
  while (delimiter.empty() || Received.find(delimiter) == std::string::npos)
    if (!readSome())
      return std::exchange(Received, {});
  const std::size_t end = Received.find(delimiter) + delimiter.size();
  std::string text = Received.substr(0, end);
  Received.erase(0, end);
  return text;
}

std::string RawClient::readAvailable() {
  if (Received.empty())
    readSome();
  return std::exchange(Received, {});
}

std::string RawClient::readAnswer() {
  std::string answer = readUntil("\r\n\r\n");
  const std::size_t length = readContentLength(answer);
  while (Received.size() < length)
    if (!readSome())
      break;
  answer += Received.substr(0, length);
  Received.erase(0, length);
  return answer;
}

void RawClient::close() { Socket.close(); }

void RawClient::closeWithReset() {
  Socket.set_option(boost::asio::socket_base::linger(true, 0));
  Socket.close();
}

std::string ScriptedServer::Peer::readRequest() {
  auto take = [this] {
    std::string more;
    const ssize_t n = receive(Socket, more);
    Received += more;
    std::lock_guard lock(Server.Mutex);
    Server.Bytes += more;
    return n > 0;
  };
  while (Received.find("\r\n\r\n") == std::string::npos)
    if (!take())
      return {};
  const std::size_t head = Received.find("\r\n\r\n") + 4;
  const std::size_t total = head + readContentLength(Received.substr(0, head));
  while (Received.size() < total)
    if (!take())
      return {};
  std::string request = Received.substr(0, total);
  Received.erase(0, total);
  return request;
}

void ScriptedServer::Peer::send(std::string_view bytes) {
  sendAll(Socket, bytes);
}

std::size_t ScriptedServer::Peer::sendEndlessly(std::string_view bytes) {
  std::string block;
  while (block.size() < BlockBytes)
    block += bytes;
  std::size_t sent = 0;
  while (sendAll(Socket, block))
    sent += block.size();
  return sent;
}

void ScriptedServer::Peer::awaitClose() {
  std::string rest;
  while (receive(Socket, rest) > 0)
    rest.clear();
}

void ScriptedServer::Peer::close() {
  ::shutdown(Socket.native_handle(), SHUT_RDWR);
}

ScriptedServer::ScriptedServer(Script script)
    : RunScript(std::move(script)),
      Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}),
      AcceptThread([this] { run(); }) {}

ScriptedServer::~ScriptedServer() {
  Stopping = true;
  // Wakes the accepting thread.
  tcp::socket waker(Context);
  boost::system::error_code ec;
  waker.connect(Acceptor.local_endpoint(), ec);
  AcceptThread.join();
  for (auto &peer : Peers)
    peer->close();
  for (auto &thread : Threads)
    thread.join();
}

TargetAddress ScriptedServer::address() const {
  return {"127.0.0.1", Acceptor.local_endpoint().port()};
}

std::string ScriptedServer::bytes() const {
  std::lock_guard lock(Mutex);
  return Bytes;
}

void ScriptedServer::run() {
  while (true) {
    tcp::socket socket(Context);
    Acceptor.accept(socket);
    if (Stopping)
      return;
    setReadLimit(socket);
    auto peer = std::make_shared<Peer>(*this, std::move(socket));
    Peers.push_back(peer);
    const std::size_t number = ++Accepted;
    Threads.emplace_back([this, peer, number] {
      RunScript(*peer, number);
      peer->close();
    });
  }
}

protocol::AnswerSink AnswerCollector::makeSink(bool confirm) {
  protocol::AnswerSink sink;
  sink.Head = [data = Data](protocol::AnswerHead head) {
    std::lock_guard lock(data->Mutex);
    data->Head = std::move(head);
  };
  sink.Chunk = [data = Data, confirm](const std::string &chunk,
                                      const std::function<void()> &more) {
    {
      std::lock_guard lock(data->Mutex);
      data->Body += chunk;
    }
    if (confirm)
      more();
  };
  sink.End = [data = Data] {
    std::lock_guard lock(data->Mutex);
    data->IsEnded = true;
  };
  return sink;
}

std::function<void(TargetOutcome)> AnswerCollector::makeDone() {
  return [data = Data](TargetOutcome outcome) {
    std::lock_guard lock(data->Mutex);
    data->Outcome = std::move(outcome);
    ++data->DoneCount;
  };
}

bool AnswerCollector::awaitDone() {
  return waitFor([this] { return countDone() > 0; });
}

TargetOutcome AnswerCollector::outcome() const {
  std::lock_guard lock(Data->Mutex);
  return Data->Outcome;
}

std::string AnswerCollector::body() const {
  std::lock_guard lock(Data->Mutex);
  return Data->Body;
}

std::uint16_t AnswerCollector::status() const {
  std::lock_guard lock(Data->Mutex);
  return Data->Head ? Data->Head->Status : std::uint16_t{0};
}

int AnswerCollector::countDone() const {
  std::lock_guard lock(Data->Mutex);
  return Data->DoneCount;
}

bool AnswerCollector::isEnded() const {
  std::lock_guard lock(Data->Mutex);
  return Data->IsEnded;
}

void ScopedEventLoop::run(const std::function<void()> &task) {
  std::promise<void> ran;
  boost::asio::post(EventLoop.context(), [&] {
    task();
    ran.set_value();
  });
  ran.get_future().wait();
}

} // namespace magnoliamill::gateway::tests

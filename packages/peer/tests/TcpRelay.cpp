// Implements the relay: each connection is a pair of sockets with one pump for
// each direction.
#include "TcpRelay.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace magnoliamill::peer::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

struct TcpRelay::State {
  // One connection through the relay; exists while one of its pumps runs.
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(State &state, tcp::socket client)
        : Owner(state), ClientSide(std::move(client)),
          ServerSide(state.Context) {
      ErrorCode ec;
      From = ClientSide.remote_endpoint(ec).address().to_string();
    }

    void start() {
      ErrorCode ec;
      ServerSide.connect(Owner.Target, ec);
      if (ec)
        return close();
      ClientSide.set_option(tcp::no_delay(true), ec);
      ServerSide.set_option(tcp::no_delay(true), ec);
      pump(ClientSide, ServerSide, Requests, false);
      pump(ServerSide, ClientSide, Answers, true);
    }
    void pump(tcp::socket &from, tcp::socket &to, std::vector<char> &buf,
              bool answers) {
      if (answers && Owner.IsPausingAnswers) {
        IsPaused = true;
        return;
      }
      from.async_read_some(
          asio::buffer(buf), [this, self = shared_from_this(), &from, &to, &buf,
                              answers](ErrorCode ec, std::size_t n) {
            if (ec)
              return close();
            if (IsDiscarding)
              return pump(from, to, buf, answers);
            if (answers)
              Owner.AnswerBytes += n;
            asio::async_write(to, asio::buffer(buf.data(), n),
                              [this, self, &from, &to, &buf,
                               answers](ErrorCode failed, std::size_t) {
                                if (failed)
                                  return close();
                                pump(from, to, buf, answers);
                              });
          });
    }
    void resume() {
      if (std::exchange(IsPaused, false))
        pump(ServerSide, ClientSide, Answers, true);
    }
    void close() {
      ErrorCode ec;
      ClientSide.set_option(asio::socket_base::linger(true, 0), ec);
      ClientSide.close(ec);
      ServerSide.close(ec);
    }

    State &Owner;
    tcp::socket ClientSide;
    tcp::socket ServerSide;
    std::string From;
    bool IsDiscarding = false;
    // True while the pump of the answers waits for resume().
    bool IsPaused = false;
    std::vector<char> Requests = std::vector<char>(65536);
    std::vector<char> Answers = std::vector<char>(65536);
  };

  State(tcp::endpoint target, std::uint16_t port)
      : Target(std::move(target)),
        Acceptor(Context, {asio::ip::address_v4::loopback(), port}) {
    accept();
    Thread = std::thread([this] { Context.run(); });
  }
  ~State() {
    Context.stop();
    Thread.join();
  }

  void accept() {
    Acceptor.async_accept([this](ErrorCode ec, tcp::socket socket) {
      if (ec)
        return;
      ++Accepted;
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connection->IsDiscarding =
          IsPartitioned || PartitionedHosts.contains(connection->From);
      Connections.push_back(connection);
      connection->start();
      accept();
    });
  }
  void run(const std::function<void()> &task) {
    std::promise<void> done;
    asio::post(Context, [&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }
  void forEach(const std::function<void(Connection &)> &task) {
    std::erase_if(Connections,
                  [](const auto &connection) { return connection.expired(); });
    for (const auto &weak : std::vector(Connections))
      if (auto connection = weak.lock())
        task(*connection);
  }

  const tcp::endpoint Target;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<Connection>> Connections;
  bool IsPartitioned = false;
  std::set<std::string> PartitionedHosts;
  bool IsPausingAnswers = false;
  std::atomic<std::size_t> Accepted{0};
  std::atomic<std::size_t> AnswerBytes{0};
  std::thread Thread;
};

TcpRelay::TcpRelay(std::uint16_t target, const std::string &host,
                   std::uint16_t port)
    : Self(std::make_unique<State>(
          tcp::endpoint(asio::ip::make_address(host), target), port)) {}

TcpRelay::~TcpRelay() = default;

std::uint16_t TcpRelay::port() const {
  return Self->Acceptor.local_endpoint().port();
}

void TcpRelay::cut() {
  Self->run(
      [this] { Self->forEach([](auto &connection) { connection.close(); }); });
}

void TcpRelay::discardOnOpenConnections() {
  Self->run([this] {
    Self->forEach([](auto &connection) { connection.IsDiscarding = true; });
  });
}

void TcpRelay::partition() {
  Self->run([this] {
    Self->IsPartitioned = true;
    Self->forEach([](auto &connection) { connection.IsDiscarding = true; });
  });
}

void TcpRelay::partitionFrom(const std::string &host) {
  Self->run([this, &host] {
    Self->PartitionedHosts.insert(host);
    Self->forEach([&host](auto &connection) {
      if (connection.From == host)
        connection.IsDiscarding = true;
    });
  });
}

void TcpRelay::heal() {
  Self->run([this] {
    Self->IsPartitioned = false;
    Self->PartitionedHosts.clear();
  });
}

void TcpRelay::pauseAnswers(bool paused) {
  Self->run([this, paused] {
    Self->IsPausingAnswers = paused;
    if (!paused)
      Self->forEach([](auto &connection) { connection.resume(); });
  });
}

std::size_t TcpRelay::countAccepted() const { return Self->Accepted; }

std::size_t TcpRelay::countAnswerBytes() const { return Self->AnswerBytes; }

} // namespace magnoliamill::peer::tests

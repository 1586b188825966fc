// The relay's thread: pairs of sockets, each with a pump in both directions.
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
  // One connection through the relay; lives while one of its pumps runs.
  struct Pair : std::enable_shared_from_this<Pair> {
    Pair(State &state, tcp::socket near)
        : Owner(state), Near(std::move(near)), Far(state.Context) {
      ErrorCode ec;
      From = Near.remote_endpoint(ec).address().to_string();
    }

    void start() {
      ErrorCode ec;
      Far.connect(Owner.Target, ec);
      if (ec)
        return close();
      Near.set_option(tcp::no_delay(true), ec);
      Far.set_option(tcp::no_delay(true), ec);
      pump(Near, Far, Requests, false);
      pump(Far, Near, Answers, true);
    }
    void pump(tcp::socket &from, tcp::socket &to, std::vector<char> &buf,
              bool answers) {
      if (answers && Owner.IsHolding) {
        IsParked = true;
        return;
      }
      from.async_read_some(
          asio::buffer(buf), [this, self = shared_from_this(), &from, &to, &buf,
                              answers](ErrorCode ec, std::size_t n) {
            if (ec)
              return close();
            if (IsSwallowing)
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
      if (std::exchange(IsParked, false))
        pump(Far, Near, Answers, true);
    }
    void close() {
      ErrorCode ec;
      Near.set_option(asio::socket_base::linger(true, 0), ec);
      Near.close(ec);
      Far.close(ec);
    }

    State &Owner;
    tcp::socket Near;
    tcp::socket Far;
    std::string From;
    bool IsSwallowing = false;
    // True when the answers' pump waits for resume().
    bool IsParked = false;
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
      auto pair = std::make_shared<Pair>(*this, std::move(socket));
      pair->IsSwallowing =
          IsPartitioned || PartitionedHosts.contains(pair->From);
      Pairs.push_back(pair);
      pair->start();
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
  void forEach(const std::function<void(Pair &)> &task) {
    std::erase_if(Pairs, [](const auto &pair) { return pair.expired(); });
    for (const auto &weak : std::vector(Pairs))
      if (auto pair = weak.lock())
        task(*pair);
  }

  const tcp::endpoint Target;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<Pair>> Pairs;
  bool IsPartitioned = false;
  std::set<std::string> PartitionedHosts;
  bool IsHolding = false;
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
  Self->run([this] { Self->forEach([](auto &pair) { pair.close(); }); });
}

void TcpRelay::swallowPresent() {
  Self->run(
      [this] { Self->forEach([](auto &pair) { pair.IsSwallowing = true; }); });
}

void TcpRelay::partition() {
  Self->run([this] {
    Self->IsPartitioned = true;
    Self->forEach([](auto &pair) { pair.IsSwallowing = true; });
  });
}

void TcpRelay::partitionFrom(const std::string &host) {
  Self->run([this, &host] {
    Self->PartitionedHosts.insert(host);
    Self->forEach([&host](auto &pair) {
      if (pair.From == host)
        pair.IsSwallowing = true;
    });
  });
}

void TcpRelay::heal() {
  Self->run([this] {
    Self->IsPartitioned = false;
    Self->PartitionedHosts.clear();
  });
}

void TcpRelay::holdAnswers(bool hold) {
  Self->run([this, hold] {
    Self->IsHolding = hold;
    if (!hold)
      Self->forEach([](auto &pair) { pair.resume(); });
  });
}

std::size_t TcpRelay::countAccepted() const { return Self->Accepted; }

std::size_t TcpRelay::countAnswerBytes() const { return Self->AnswerBytes; }

} // namespace magnoliamill::peer::tests

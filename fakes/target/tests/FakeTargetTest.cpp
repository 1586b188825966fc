// Tests that the fake target announces itself and leaves gracefully.
#include "fakes/target/FakeTarget.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <future>

using namespace magnoliamill;
using namespace magnoliamill::gateway;

namespace {

/// An entry VM that only accepts announcements and keeps the last one.
struct Entry {
  Entry() {
    GatewayHandlers handlers;
    handlers.OnApi = [this](const ApiRequest &request,
                            const std::function<void(ApiReply)> &reply) {
      {
        std::lock_guard lock(Mutex);
        Last = boost::json::parse(request.Body).as_object();
        Path = request.Path;
      }
      reply({200, "application/json", "{}", {}});
    };
    GatewayConfig config;
    config.Host = "127.0.0.1";
    Gateway.emplace(EventLoop, config, std::move(handlers));
    REQUIRE(Gateway->start());
    EventLoop.start();
  }
  ~Entry() { EventLoop.stop(); }
  boost::json::object last() {
    std::lock_guard lock(Mutex);
    return Last;
  }

  std::mutex Mutex;
  boost::json::object Last;
  std::string Path;
  base::EventLoopThread EventLoop{"entry", 64};
  std::optional<HttpGateway> Gateway;
};

bool waitFor(const std::function<bool()> &condition) {
  const auto end = base::readMonotonic() + std::chrono::seconds(10);
  while (!condition()) {
    if (base::readMonotonic() > end)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

} // namespace

TEST_CASE("A target announces itself, serves and leaves") {
  Entry entry;
  base::EventLoopThread loop("target", 64);
  fakes::FakeTargetConfig config;
  config.Name = "press-1";
  config.Service = "press-orders";
  // The first entry VM is unreachable, so that the next one is tried.
  config.Entries = {{"127.0.0.1", 1}, {"127.0.0.1", entry.Gateway->port()}};
  auto target = std::make_shared<fakes::FakeTarget>(loop, config);
  REQUIRE(target->start());
  loop.start();
  REQUIRE(waitFor([&] { return entry.last().contains("instance"); }));
  const auto first = entry.last();
  CHECK(entry.Path == "/targets/announce");
  CHECK(first.at("instance").as_string() == target->instance());
  CHECK(first.at("service").as_string() == "press-orders");
  CHECK(first.at("port").to_number<int>() == target->port());
  CHECK_FALSE(first.at("leaving").as_bool());
  CHECK(first.at("clock").to_number<std::int64_t>() > 0);

  SECTION("a leaving target announces it, and stops once it is idle") {
    std::promise<void> left;
    target->leave([&] { left.set_value(); });
    CHECK(waitFor([&] { return entry.last().at("leaving").as_bool(); }));
    CHECK(left.get_future().wait_for(std::chrono::seconds(12)) ==
          std::future_status::ready);
  }
  target->close();
  loop.stop();
}

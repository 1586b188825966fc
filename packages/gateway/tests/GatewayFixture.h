// A gateway whose requests are answered by the test.
#pragma once

#include "Support.h"

#include <catch2/catch.hpp>

namespace magnoliamill::gateway::tests {

inline GatewayConfig makeConfig() {
  GatewayConfig config;
  config.Host = "127.0.0.1";
  config.Limits.DrainIdleTime = std::chrono::seconds(5);
  config.Limits.MaxBodyBytes = 100'000;
  return config;
}

/// A gateway whose handlers keep each request until the test answers it.
struct GatewayFixture {
  explicit GatewayFixture(GatewayConfig config = makeConfig()) {
    GatewayHandlers handlers;
    handlers.OnRequest = [this](protocol::ForwardRequest request,
                                protocol::AnswerSink sink) {
      std::lock_guard lock(Mutex);
      Requests.push_back(std::move(request));
      Sinks.push_back(std::move(sink));
      return [this] { ++Cancelled; };
    };
    handlers.OnApi = [this](ApiRequest request,
                            const std::function<void(ApiReply)> &reply) {
      ApiReply answer;
      answer.Body = request.Method + " " + request.Path + " " + request.Query +
                    " " + request.AccessToken + " " + request.ChangeId + " " +
                    request.Body;
      answer.Status = 201;
      reply(answer);
    };
    handlers.DescribeUnready = [this] { return Unready; };
    Gateway.emplace(Runner.EventLoop, std::move(config), std::move(handlers));
    REQUIRE(Gateway->start());
  }

  std::size_t countRequests() {
    std::lock_guard lock(Mutex);
    return Requests.size();
  }
  protocol::ForwardRequest request(std::size_t n) {
    REQUIRE(waitFor([&] { return countRequests() > n; }));
    std::lock_guard lock(Mutex);
    return Requests[n];
  }
  protocol::AnswerSink sink(std::size_t n) {
    REQUIRE(waitFor([&] { return countRequests() > n; }));
    std::lock_guard lock(Mutex);
    return Sinks[n];
  }
  /// Answers request \p n with a complete answer.
  void answer(std::size_t n, const std::string &body) {
    auto it = sink(n);
    it.Head({200, {}, body.size(), {}});
    it.Chunk(body, nullptr);
    it.End();
  }

  std::mutex Mutex;
  std::vector<protocol::ForwardRequest> Requests;
  std::vector<protocol::AnswerSink> Sinks;
  std::atomic<int> Cancelled{0};
  std::string Unready;
  ScopedEventLoop Runner;
  std::optional<HttpGateway> Gateway;
};

inline bool contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

inline constexpr const char *SimpleGet = "GET /s/orders/x HTTP/1.1\r\n\r\n";

} // namespace magnoliamill::gateway::tests

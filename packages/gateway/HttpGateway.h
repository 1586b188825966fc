// The HTTP server of an entry VM: callers, targets that announce themselves,
// operators, and the platform's balancer and monitoring.
#pragma once

#include "base/EventLoopThread.h"
#include "base/Ids.h"
#include "base/Result.h"
#include "base/Time.h"
#include "protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::gateway {

struct HttpLimits {
  std::size_t MaxHeaderBytes = 16u << 10;
  std::size_t MaxBodyBytes = 1u << 20;
  std::size_t MaxConnections = 4096;
  /// From the first byte of a request to the end of its header.
  base::Duration HeaderTimeout = std::chrono::seconds(10);
  /// From the end of the header to the end of the body.
  base::Duration BodyTimeout = std::chrono::seconds(30);
  base::Duration IdleTimeout = std::chrono::seconds(60);
  /// How long an idle connection may still bring a request while draining.
  base::Duration DrainIdleTime = std::chrono::milliseconds(500);
  /// How often time limits are looked at; limits are late by this at most.
  base::Duration SweepInterval = std::chrono::milliseconds(50);
  /// For one chunk of an answer to be taken by the caller.
  base::Duration WriteTimeout = std::chrono::seconds(30);
};

struct GatewayConfig {
  std::string Host;
  std::uint16_t Port = 0;
  HttpLimits Limits;
};

/// A call of the control API: /v1/... Path is what follows /v1, decoded Query
/// is the text after '?'.
struct ApiRequest {
  std::string Method;
  std::string Path;
  std::string Query;
  /// From the Authorization header, "Bearer" taken off; empty when absent.
  std::string AccessToken;
  /// Mill-Change-Id; empty when absent.
  std::string ChangeId;
  std::string Body;
  /// Numeric IP of the caller.
  std::string From;
};

struct ApiReply {
  std::uint16_t Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::vector<protocol::HttpHeader> Headers;
};

/// All hooks run on the gateway's thread. Replies may come from any thread.
struct GatewayHandlers {
  /// A caller's request: /s/SERVICE/PATH with its Mill-* headers already read
  /// into the fields. Returns the hook that cancels (caller's disconnect).
  /// DeadlineMs is 0 when the caller named none.
  std::function<protocol::CancelHook(protocol::ForwardRequest,
                                     protocol::AnswerSink)>
      OnRequest;
  std::function<void(ApiRequest, std::function<void(ApiReply)>)> OnApi;
  /// For /healthz and /readyz: empty when well, otherwise the reason.
  std::function<std::string()> DescribeUnready;
};

class HttpGateway {
public:
  /// Runs on \p loop, which outlives it.
  HttpGateway(base::EventLoopThread &loop, GatewayConfig config,
              GatewayHandlers handlers);
  ~HttpGateway();

  /// Opens the listener. Error: ListenFailed.
  base::Result<void> start();
  /// Stops accepting (the listener closes), answers what is in flight with
  /// "Connection: close", and calls \p done when the last connection has ended.
  void drain(std::function<void()> done);
  std::size_t countConnections() const;
  /// The port listened on, for a config with port 0; 0 before start.
  std::uint16_t port() const;

private:
  struct State;
  std::shared_ptr<State> Self;
};

/// The HTTP status and the JSON body of a numbered failure:
/// {"code":3001,"name":"NotRunNoTarget","message":"...","outcome":"not-run",
///  "retry_after_ms":200}. Headers: Mill-Outcome (not-run | unknown),
///  Mill-Code,
/// Retry-After (whole seconds, rounded up).
ApiReply renderFailure(const protocol::RequestFailure &failure);

} // namespace magnoliamill::gateway

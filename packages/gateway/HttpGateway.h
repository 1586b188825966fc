// The HTTP front end of an entry VM. It serves callers, target announcements,
// operators, and the load balancer and monitoring of the platform.
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

/// Size limits and timeouts of an HTTP server.
struct HttpLimits {
  std::size_t MaxHeaderBytes = 16u << 10;
  std::size_t MaxBodyBytes = 1u << 20;
  /// At the limit, a new connection takes the place of an idle one, or of the
  /// one that has been sending a header for longest.
  std::size_t MaxConnections = 4096;
  /// For what all connections together hold of input and headers; beyond it
  /// those that hold most are refused. As much as a header of 16 KiB on each
  /// of 4,096 connections.
  std::size_t MaxInputBytes = 64u << 20;
  /// From the first byte of a request to the end of its header section.
  base::Duration HeaderTimeout = std::chrono::seconds(10);
  /// From the end of the header section to the end of the body.
  base::Duration BodyTimeout = std::chrono::seconds(30);
  base::Duration IdleTimeout = std::chrono::seconds(60);
  /// How long an idle connection stays open for a further request after
  /// draining has begun.
  base::Duration DrainIdleTime = std::chrono::milliseconds(500);
  /// Interval between checks of the time limits; a limit takes effect late by
  /// at most this interval.
  base::Duration SweepInterval = std::chrono::milliseconds(50);
  /// For writing one chunk of an answer to the caller.
  base::Duration WriteTimeout = std::chrono::seconds(30);
};

struct GatewayConfig {
  std::string Host;
  std::uint16_t Port = 0;
  HttpLimits Limits;
};

/// A call of the control API (/v1/...). Path is the part of the request target
/// after /v1 and before '?', Query the part after '?'; neither is
/// percent-decoded.
struct ApiRequest {
  std::string Method;
  std::string Path;
  std::string Query;
  /// From the Authorization header, without "Bearer "; empty if absent.
  std::string AccessToken;
  /// From the Mill-Change-Id header; empty if absent.
  std::string ChangeId;
  std::string Body;
  /// IP address of the caller.
  std::string From;
};

/// A whole HTTP response of the control API.
struct ApiReply {
  std::uint16_t Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::vector<protocol::HttpHeader> Headers;
};

/// The callbacks run on the gateway's event loop. Their answers may be given on
/// any thread.
struct GatewayHandlers {
  /// Handles a caller's request to /s/SERVICE/PATH; its Mill-* headers are
  /// parsed into the fields. DeadlineMs is 0 if the caller set no deadline.
  /// Returns the hook that is called if the caller disconnects.
  std::function<protocol::CancelHook(protocol::ForwardRequest,
                                     protocol::AnswerSink)>
      OnRequest;
  /// Handles a call of the control API.
  std::function<void(ApiRequest, std::function<void(ApiReply)>)> OnApi;
  /// For /readyz: empty if the VM is ready, otherwise the reason why it isn't.
  std::function<std::string()> DescribeUnready;
};

/// Serves the routes of an entry VM over HTTP/1.1.
class HttpGateway {
public:
  /// Runs on \p loop, which must outlive the gateway.
  HttpGateway(base::EventLoopThread &loop, GatewayConfig config,
              GatewayHandlers handlers);
  ~HttpGateway();

  /// Opens the listener. Error: ListenFailed.
  base::Result<void> start();
  /// Closes the listener, answers the requests in flight with
  /// "Connection: close", and calls \p done when the last connection has
  /// closed. May be called from any thread.
  void drain(std::function<void()> done);
  std::size_t countConnections() const;
  /// Returns the port listened on, also if the configured port is 0; 0 before
  /// start().
  std::uint16_t port() const;

private:
  struct State;
  std::shared_ptr<State> Self;
};

/// Renders a failure as an HTTP status and a JSON body:
/// {"code":3001,"name":"NotRunNoTarget","message":"...","outcome":"not-run",
///  "retry_after_ms":200}
/// Headers: Mill-Outcome (not-run or unknown), Mill-Code, and Retry-After
/// (whole seconds, rounded up) if there is a delay. A 503 without a delay gets
/// 1 s.
ApiReply renderFailure(const protocol::RequestFailure &failure);

} // namespace magnoliamill::gateway

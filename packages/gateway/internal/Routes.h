// Routing of HTTP requests and parsing of the Mill-* headers of callers.
#pragma once

#include "base/Result.h"
#include "gateway/HttpGateway.h"
#include "gateway/HttpServer.h"

#include <string_view>

namespace magnoliamill::gateway::internal {

/// Parses /s/SERVICE/PATH and the Mill-* headers. Errors: 2xxx codes.
base::Result<protocol::ForwardRequest> readForwardRequest(HttpCall call);

/// Dispatches requests to the handlers of the gateway by their path.
class Routes {
public:
  explicit Routes(GatewayHandlers handlers) : Handlers(std::move(handlers)) {}
  protocol::CancelHook handle(HttpCall call, const protocol::AnswerSink &sink);

private:
  protocol::CancelHook forward(HttpCall call, protocol::AnswerSink sink);
  void callApi(HttpCall call, protocol::AnswerSink sink);
  void answerHealth(const protocol::AnswerSink &sink);
  void answerReadiness(const protocol::AnswerSink &sink);

  GatewayHandlers Handlers;
};

} // namespace magnoliamill::gateway::internal

// Connects the HTTP server to the routes.
#include "gateway/HttpGateway.h"

#include "gateway/HttpServer.h"
#include "gateway/internal/Routes.h"

namespace magnoliamill::gateway {

struct HttpGateway::State {
  std::shared_ptr<HttpServer> Server;
};

HttpGateway::HttpGateway(base::EventLoopThread &loop, GatewayConfig config,
                         GatewayHandlers handlers)
    : Self(std::make_shared<State>()) {
  auto routes = std::make_shared<internal::Routes>(std::move(handlers));
  Self->Server = std::make_shared<HttpServer>(
      loop, std::move(config),
      [routes](HttpCall call, const protocol::AnswerSink &sink) {
        return routes->handle(std::move(call), sink);
      });
}

HttpGateway::~HttpGateway() { Self->Server->close(); }

base::Result<void> HttpGateway::start() { return Self->Server->start(); }

void HttpGateway::drain(std::function<void()> done) {
  Self->Server->drain(std::move(done));
}

std::size_t HttpGateway::countConnections() const {
  return Self->Server->countConnections();
}

std::uint16_t HttpGateway::port() const { return Self->Server->port(); }

} // namespace magnoliamill::gateway

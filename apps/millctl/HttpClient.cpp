// Uses Boost.Beast on a separate io_context, which runs until each step of the
// exchange has ended.
#include "HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>

namespace magnoliamill::millctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::ResultCode;
using ErrorCode = boost::system::error_code;

constexpr std::uint64_t MaxBodyBytes = 64u << 20;

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  auto host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']'))
    host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  const char *last = text.data() + text.size();
  auto [end, ec] = std::from_chars(text.data() + colon + 1, last, port);
  ErrorCode failed;
  auto address = asio::ip::make_address(host, failed);
  if (failed || ec != std::errc() || end != last)
    return std::nullopt;
  return asio::ip::tcp::endpoint(address, port);
}

http::request<http::string_body> buildRequest(const std::string &endpoint,
                                              const HttpCall &call) {
  http::request<http::string_body> request;
  request.method_string(call.Method);
  request.target(call.Target);
  request.set(http::field::host, endpoint);
  request.set(http::field::connection, "close");
  for (const auto &[name, value] : call.Headers)
    request.set(name, value);
  request.body() = call.Body;
  request.prepare_payload();
  return request;
}

/// A connection for one exchange.
class Exchange {
public:
  explicit Exchange(base::Duration timeout) : Timeout(timeout) {}

  ErrorCode connect(const asio::ip::tcp::endpoint &endpoint) {
    arm();
    Stream.async_connect(endpoint, [this](ErrorCode ec) { LastError = ec; });
    return run();
  }

  ErrorCode write(const http::request<http::string_body> &request) {
    arm();
    http::async_write(Stream, request,
                      [this](ErrorCode ec, std::size_t) { LastError = ec; });
    return run();
  }

  ErrorCode read(http::response_parser<http::string_body> &parser) {
    arm();
    http::async_read(Stream, Buffer, parser,
                     [this](ErrorCode ec, std::size_t) { LastError = ec; });
    return run();
  }

private:
  void arm() { Stream.expires_after(Timeout); }

  ErrorCode run() {
    Context.restart();
    Context.run();
    return LastError;
  }

  base::Duration Timeout;
  asio::io_context Context{1};
  beast::tcp_stream Stream{Context};
  beast::flat_buffer Buffer;
  ErrorCode LastError;
};

auto failIncomplete(const std::string &endpoint, const ErrorCode &ec) {
  auto code = ec == beast::error::timeout ? ResultCode::PeerTimeout
                                          : ResultCode::PeerProtocol;
  return base::fail(code, fmt::format("no complete answer from {}: {}",
                                      endpoint, ec.message()));
}

} // namespace

base::Result<HttpAnswer> exchange(const std::string &endpoint,
                                  const HttpCall &call,
                                  base::Duration timeout) {
  auto address = parseEndpoint(endpoint);
  if (!address)
    return base::fail(ResultCode::PeerUnreachable,
                      fmt::format("'{}' is not IP:PORT", endpoint));
  Exchange connection(timeout);
  if (auto ec = connection.connect(*address))
    return base::fail(ResultCode::PeerUnreachable,
                      fmt::format("{}: {}", endpoint, ec.message()));
  if (auto ec = connection.write(buildRequest(endpoint, call)))
    return failIncomplete(endpoint, ec);
  http::response_parser<http::string_body> parser;
  parser.body_limit(MaxBodyBytes);
  if (auto ec = connection.read(parser))
    return failIncomplete(endpoint, ec);
  return HttpAnswer{parser.get().result_int(), parser.get().body()};
}

} // namespace magnoliamill::millctl

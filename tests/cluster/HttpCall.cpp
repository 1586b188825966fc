// Blocking HTTP client on Boost.Beast with a time limit.
#include "cluster/HttpCall.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace magnoliamill::tests {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Runs the pending operation until it ends or the stream's time limit expires.
void runPendingOperation(asio::io_context &context) {
  context.run();
  context.restart();
}

} // namespace

std::string HttpResponse::outcome() const {
  auto it = Headers.find("mill-outcome");
  return it == Headers.end() ? std::string() : it->second;
}

HttpResponse callHttp(std::uint16_t port, const std::string &method,
                      const std::string &target, const HttpHeaders &headers,
                      const std::string &body,
                      std::chrono::milliseconds limit) {
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(limit);
  beast::error_code ec;
  auto StoreResult = [&ec](const beast::error_code &result, auto...) {
    ec = result;
  };

  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port),
      StoreResult);
  runPendingOperation(context);
  if (ec)
    return {};
  http::request<http::string_body> request;
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, "127.0.0.1");
  request.set(http::field::connection, "close");
  for (const auto &[name, value] : headers)
    request.set(name, value);
  request.body() = body;
  request.prepare_payload();
  http::async_write(stream, request, StoreResult);
  runPendingOperation(context);
  if (ec)
    return {};
  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(64u << 20);
  http::async_read(stream, buf, parser, StoreResult);
  runPendingOperation(context);
  if (ec)
    return {};
  HttpResponse answer;
  answer.Status = parser.get().result_int();
  for (const auto &field : parser.get()) {
    std::string name(field.name_string());
    for (char &c : name)
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    answer.Headers[name] = std::string(field.value());
  }
  answer.Body = parser.get().body();
  return answer;
}

} // namespace magnoliamill::tests

// Sends one request and reads the head of its answer within a time limit.
#include "gateway/HealthCheck.h"

#include "gateway/internal/ResponseStatus.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace magnoliamill::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

/// Owns all that its operations use: each handler keeps it alive.
class Check : public std::enable_shared_from_this<Check> {
public:
  Check(asio::io_context &context, const TargetAddress &address,
        const std::string &path,
        std::function<void(std::optional<protocol::AnswerHead>)> done)
      : Stream(context), Done(std::move(done)) {
    Request.version(11);
    Request.method(http::verb::get);
    Request.target(path);
    Request.set(http::field::host,
                address.Host + ":" + std::to_string(address.Port));
    Request.keep_alive(false);
  }

  void start(const asio::ip::tcp::endpoint &endpoint, base::Duration limit) {
    // Applies to all operations together.
    Stream.expires_after(limit);
    Stream.async_connect(endpoint, [self = shared_from_this()](ErrorCode ec) {
      if (ec)
        return self->finish(std::nullopt);
      self->write();
    });
  }
  void finish(std::optional<protocol::AnswerHead> head) {
    Stream.close();
    std::exchange(Done, nullptr)(std::move(head));
  }

private:
  void write() {
    http::async_write(Stream, Request,
                      [self = shared_from_this()](ErrorCode ec, std::size_t) {
                        if (ec)
                          return self->finish(std::nullopt);
                        self->read();
                      });
  }
  void read() {
    Parser.emplace();
    http::async_read_header(
        Stream, Buffer, *Parser,
        [self = shared_from_this()](ErrorCode ec, std::size_t) {
          if (ec)
            return self->finish(std::nullopt);
          self->onHeader(self->Parser->get());
        });
  }
  void onHeader(const http::response<http::empty_body> &response) {
    const unsigned status = response.result_int();
    if (internal::isInterimStatus(status))
      return read();
    if (!internal::isFinalStatus(status))
      return finish(std::nullopt);
    protocol::AnswerHead head;
    head.Status = static_cast<std::uint16_t>(status);
    for (const auto &field : response)
      head.Headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    finish(std::move(head));
  }

  boost::beast::tcp_stream Stream;
  http::request<http::empty_body> Request;
  boost::beast::flat_buffer Buffer;
  std::optional<http::response_parser<http::empty_body>> Parser;
  std::function<void(std::optional<protocol::AnswerHead>)> Done;
};

} // namespace

void requestHealth(
    boost::asio::io_context &context, const TargetAddress &address,
    const std::string &path, base::Duration limit,
    std::function<void(std::optional<protocol::AnswerHead>)> done) {
  auto check = std::make_shared<Check>(context, address, path, std::move(done));
  ErrorCode ec;
  const auto host = asio::ip::make_address(address.Host, ec);
  if (ec)
    return asio::post(context, [check] { check->finish(std::nullopt); });
  check->start({host, address.Port}, limit);
}

} // namespace magnoliamill::gateway

// One caller's connection: reads requests one after the other, watches for the
// caller's disconnect while an answer is awaited, and writes answers in order.
#pragma once

#include "base/Time.h"
#include "gateway/HttpServer.h"
#include "gateway/internal/AnswerInbox.h"
#include "gateway/internal/AnswerWriter.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace magnoliamill::gateway::internal {

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(std::shared_ptr<HttpServer> server,
                 boost::asio::ip::tcp::socket socket);

  void start();
  /// Answers with \p failure and closes.
  void refuse(protocol::RequestFailure failure);
  /// Closes at once, without a clean end of what was being written.
  void abort();

  bool isOverdue(base::MonoTime now) const { return now >= TimeLimit; }
  void onOverdue();
  void onDrain();
  /// The present answer is the last one.
  void onEndKeepAlive();

private:
  enum class Phase {
    /// Between requests or in the middle of one.
    Receiving,
    /// A request is with the handler, or its answer is being written.
    Answering,
    /// The last answer is written; what still comes is thrown away until the
    /// caller closes, so that no reset overtakes the answer.
    Lingering,
    Closed,
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void receiveNext();
  void parse();
  void continueReceiving();
  void dispatch();
  HttpCall releaseCall();
  std::shared_ptr<AnswerInbox> beginAnswer(AnswerOptions options);
  void onAnswered(bool keep);
  void linger();
  void readMore();
  void onRead(boost::system::error_code ec, std::size_t n);
  void onDisconnect(boost::system::error_code ec);
  void close();
  void setLimit(base::Duration duration);

  std::shared_ptr<HttpServer> Server;
  boost::asio::ip::tcp::socket Socket;
  std::string From;
  Phase State = Phase::Receiving;
  base::MonoTime TimeLimit = base::MonoTime::max();

  // Reads go to ReadBuffer and from there to Received: a read may be under way
  // while Received is being parsed.
  std::array<char, 8192> ReadBuffer;
  boost::beast::flat_buffer Received;
  bool IsReading = false;
  std::optional<Parser> RequestParser;
  bool IsContinueSent = false;
  bool IsHeaderSeen = false;

  std::unique_ptr<AnswerWriter> Writer;
  std::shared_ptr<AnswerInbox> Inbox;
  protocol::CancelHook Cancel;
};

} // namespace magnoliamill::gateway::internal

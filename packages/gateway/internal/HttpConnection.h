// One caller's connection: reads requests one at a time, detects a disconnect
// while an answer is pending, and writes the answers in order.
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

/// Handles the requests of one connection; used on the event loop only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(std::shared_ptr<HttpServer> server,
                 boost::asio::ip::tcp::socket socket);

  void start();
  /// Answers with \p failure and closes the connection.
  void refuse(protocol::RequestFailure failure);
  /// Closes the connection with a reset, discarding unsent data.
  void abort();

  bool isOverdue(base::MonoTime now) const {
    return now >= TimeLimit || isShuttingOut(now);
  }
  void onOverdue();
  /// True while it waits for a request or its header, or its body is slow.
  bool canBeReplaced(base::MonoTime now) const;
  /// Idle connections come before those that send a header, then the one that
  /// has waited for longest.
  bool isReplacedBefore(const HttpConnection &other) const;
  void onReplaced();
  /// Memory that onInputLimit() would release.
  std::size_t refusableInput() const;
  /// Refuses the request that is being received, or discards what was read
  /// behind the one that is being answered.
  void onInputLimit();
  void onDrain();
  /// Closes the connection after the current answer.
  void onEndKeepAlive();

private:
  enum class Phase {
    /// Idle, or a request is being received.
    Receiving,
    /// The handler has a request, or its answer is being written.
    Answering,
    /// The last answer is written. Input is discarded until the caller closes:
    /// closing with unread input would send a reset, which could make the
    /// caller lose the answer.
    Lingering,
    Closed,
  };
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void receiveNext();
  void parse();
  void continueReceiving();
  bool isIdle() const;
  /// Counts what this connection holds. Returns false if the request was
  /// refused.
  bool countInput();
  void discardInput();
  void onOversizedFraming();
  bool mayReadAhead() const;
  /// Reserves memory for the body as far as its size is known. Returns false if
  /// the connection waits for room, unread, or the request was refused.
  bool reserveMemory();
  std::size_t neededBytes() const;
  /// True while a slow caller holds memory for which others wait.
  bool isShuttingOut(base::MonoTime now) const;
  /// True if the body has been arriving slowly since \p begun.
  bool isSlow(base::MonoTime begun, base::MonoTime now) const;
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

  // Data is read into ReadBuffer and copied to Received, because a read may be
  // in progress while Received is parsed.
  std::array<char, 8192> ReadBuffer;
  boost::beast::flat_buffer Received;
  InputShare Input;
  /// Of the present request, see InputShare::measureHeader().
  std::size_t HeaderBytes = 0;
  bool IsReading = false;
  /// What was read behind the present request was discarded.
  bool IsInputDiscarded = false;
  std::optional<Parser> RequestParser;
  /// At least one request of the connection was answered.
  bool HasAnswered = false;
  bool IsContinueSent = false;
  bool IsHeaderSeen = false;
  /// For the body of the request that is being received.
  MessageMemory::ReservationPtr Memory;
  /// When Memory was granted.
  base::MonoTime MemorySince;
  bool IsAwaitingMemory = false;

  std::unique_ptr<AnswerWriter> Writer;
  std::shared_ptr<AnswerInbox> Inbox;
  protocol::CancelHook Cancel;
};

} // namespace magnoliamill::gateway::internal

// Writes one answer to a caller's socket: head, body chunks, end.
#pragma once

#include "gateway/internal/AnswerInbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace magnoliamill::gateway::internal {

/// Callbacks of an AnswerWriter.
struct AnswerWriterHooks {
  /// Called when a write starts (true) and when it ends (false).
  std::function<void(bool)> OnWriting;
  /// Called once when the whole answer is written. The argument tells whether
  /// the connection can be used for another request.
  std::function<void(bool)> OnDone;
  /// Called once when the answer can't be completed: the connection must be
  /// aborted so that the caller does not mistake the body for a complete one.
  std::function<void()> OnAborted;
};

/// Properties of the request that determine how its answer is written.
struct AnswerOptions {
  /// True for a HEAD request.
  bool HeadOnly = false;
  /// HTTP version, 10 or 11.
  unsigned Version = 11;
  bool KeepAlive = true;
  /// Sent to the caller as Keep-Alive: timeout; 0 omits the header.
  std::chrono::seconds KeepAliveTimeout{0};
};

/// Writes the events of one answer to a socket.
class AnswerWriter {
public:
  /// \p owner is kept alive while a write is under way.
  AnswerWriter(boost::asio::ip::tcp::socket &socket, std::weak_ptr<void> owner,
               AnswerOptions options, AnswerWriterHooks hooks);

  /// Takes the next events and writes what is available.
  void put(std::vector<AnswerEvent> events);
  /// Closes the connection after this answer, unless its head is already
  /// written.
  void endKeepAlive() { Options.KeepAlive = false; }

private:
  using Response =
      boost::beast::http::response<boost::beast::http::buffer_body>;

  void handleEvent(AnswerEvent event);
  void setFailureAnswer(const protocol::RequestFailure &failure);
  void pump();
  void buildHead();
  void acknowledge();
  void finish();
  void abort();
  bool checkLength();
  void write();
  void onWritten(boost::system::error_code ec);

  boost::asio::ip::tcp::socket &Socket;
  std::weak_ptr<void> Owner;
  AnswerOptions Options;
  AnswerWriterHooks Hooks;

  std::optional<protocol::AnswerHead> Head;
  std::optional<protocol::RequestFailure> Failure;
  Response Message;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>>
      Serializer;
  std::string Pending;
  std::string InFlight;
  std::function<void()> More;
  std::uint64_t Sent = 0;
  bool IsBodyless = false;
  bool IsEnded = false;
  bool IsWriting = false;
  // Set before OnDone or OnAborted is called; nothing is written afterwards.
  bool IsFinished = false;
};

} // namespace magnoliamill::gateway::internal

// Writes one answer to a caller's socket: head, body parts, end.
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

struct AnswerWriterHooks {
  /// Called when a write starts (true) and when it has ended (false).
  std::function<void(bool)> OnWriting;
  /// Called once when the whole answer is written. True: the connection can
  /// take another request.
  std::function<void(bool)> OnDone;
  /// Called once when the answer can't be completed any more: the connection
  /// must be aborted, so that nobody takes the body for a whole one.
  std::function<void()> OnAborted;
};

/// What the request asks of the form of its answer.
struct AnswerOptions {
  bool HeadOnly = false;
  unsigned Version = 11;
  bool KeepAlive = true;
  /// How long the connection may stay idle, told to the caller; 0 says nothing.
  std::chrono::seconds KeepAliveTimeout{0};
};

class AnswerWriter {
public:
  /// \p owner is kept alive while a write is under way.
  AnswerWriter(boost::asio::ip::tcp::socket &socket, std::weak_ptr<void> owner,
               AnswerOptions options, AnswerWriterHooks hooks);

  void put(std::vector<AnswerEvent> events);
  /// Makes the answer the last one of its connection, when its head is not
  /// written yet.
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
  // Set once by OnDone or OnAborted; nothing happens afterwards.
  bool IsFinished = false;
};

} // namespace magnoliamill::gateway::internal

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
  std::function<void()> OnBroken;
};

/// What the request asks of the form of its answer.
struct AnswerForm {
  bool HeadOnly = false;
  unsigned Version = 11;
  bool KeepAlive = true;
  /// How long the connection may stay idle, told to the caller; 0 says nothing.
  std::chrono::seconds KeptFor{0};
};

class AnswerWriter {
public:
  /// \p owner is kept alive while a write is under way.
  AnswerWriter(boost::asio::ip::tcp::socket &socket, std::weak_ptr<void> owner,
               AnswerForm form, AnswerWriterHooks hooks);

  void put(std::vector<AnswerEvent> events);
  /// Makes the answer the last one of its connection, when its head is not
  /// written yet.
  void endKeepAlive() { Form.KeepAlive = false; }

private:
  using Response =
      boost::beast::http::response<boost::beast::http::buffer_body>;

  void take(AnswerEvent event);
  void replaceByFailure(const protocol::RequestFailure &failure);
  void pump();
  void buildHead();
  void acknowledge();
  void finish();
  void breakOff();
  bool checkLength();
  void write();
  void onWritten(boost::system::error_code ec);

  boost::asio::ip::tcp::socket &Socket;
  std::weak_ptr<void> Owner;
  AnswerForm Form;
  AnswerWriterHooks Hooks;

  std::optional<protocol::AnswerHead> Head;
  std::optional<protocol::RequestFailure> Failure;
  Response Message;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>>
      Serializer;
  std::string Pending;
  std::string Writing;
  std::function<void()> More;
  std::uint64_t Sent = 0;
  bool IsBodyless = false;
  bool IsEnded = false;
  bool IsWriting = false;
  // Set once by OnDone or OnBroken; nothing happens afterwards.
  bool IsOver = false;
};

} // namespace magnoliamill::gateway::internal

// Streams an answer with at most one chunk in memory.
#include "gateway/internal/AnswerWriter.h"

#include "gateway/HttpGateway.h"
#include "gateway/internal/ResponseStatus.h"

#include <boost/beast/http/write.hpp>

namespace magnoliamill::gateway::internal {

namespace http = boost::beast::http;

AnswerWriter::AnswerWriter(boost::asio::ip::tcp::socket &socket,
                           std::weak_ptr<void> owner, AnswerOptions options,
                           AnswerWriterHooks hooks)
    : Socket(socket), Owner(std::move(owner)), Options(options),
      Hooks(std::move(hooks)) {}

void AnswerWriter::put(std::vector<AnswerEvent> events) {
  for (auto &event : events)
    handleEvent(std::move(event));
  pump();
}

void AnswerWriter::handleEvent(AnswerEvent event) {
  if (IsEnded || Failure)
    return;
  if (auto *head = std::get_if<protocol::AnswerHead>(&event)) {
    // Another VM may have passed on what its target sent.
    if (!isFinalStatus(head->Status)) {
      Failure = {base::ResultCode::OutcomeUnknownTargetLost,
                 "no response has the status " + std::to_string(head->Status),
                 0};
      return;
    }
    Head = std::move(*head);
    IsBodyless = Options.HeadOnly || Head->Status == 204 || Head->Status == 304;
  } else if (auto *chunk = std::get_if<ChunkEvent>(&event)) {
    if (!IsBodyless)
      Pending.append(chunk->Data);
    More = std::move(chunk->More);
  } else if (auto *failure = std::get_if<protocol::RequestFailure>(&event)) {
    Failure = std::move(*failure);
  } else {
    IsEnded = true;
  }
}

void AnswerWriter::pump() {
  if (IsWriting || IsFinished)
    return;
  if (Failure && Serializer)
    return abort();
  if (Failure)
    setFailureAnswer(*Failure);
  if (!Head)
    return;
  if (!checkLength())
    return pump();
  if (!Serializer)
    buildHead();
  else if (Serializer->is_done())
    return IsEnded ? finish() : acknowledge();
  else if (Pending.empty() && !IsEnded)
    return acknowledge();
  write();
}

void AnswerWriter::setFailureAnswer(const protocol::RequestFailure &failure) {
  ApiReply reply = renderFailure(failure);
  Head = protocol::AnswerHead{
      reply.Status, std::move(reply.Headers), reply.Body.size(), {}};
  Head->Headers.push_back({"Content-Type", reply.ContentType});
  IsBodyless = Options.HeadOnly;
  Pending = IsBodyless ? std::string() : std::move(reply.Body);
  More = nullptr;
  Failure.reset();
  IsEnded = true;
}

/// Returns false and sets the failure if the body does not match its length.
bool AnswerWriter::checkLength() {
  if (IsBodyless || !Head->Length)
    return true;
  const std::uint64_t total = Sent + Pending.size();
  if (total <= *Head->Length && !(IsEnded && total < *Head->Length))
    return true;
  Failure = protocol::RequestFailure{
      base::ResultCode::AnswerTruncated,
      "the size of the answer does not match its length", 0};
  return false;
}

void AnswerWriter::buildHead() {
  Message.result(Head->Status);
  Message.version(Options.Version);
  for (const auto &header : Head->Headers)
    Message.insert(header.Name, header.Value);
  if (!Head->Length && IsEnded && !Options.HeadOnly)
    Head->Length = Pending.size();
  const bool MayHaveLength = Head->Status != 204 && Head->Status != 304;
  if (Head->Length && MayHaveLength)
    Message.content_length(*Head->Length);
  else if (!IsBodyless && Options.Version >= 11)
    Message.chunked(true);
  else if (!IsBodyless)
    Options.KeepAlive = false; // HTTP/1.0: the body ends with the connection.
  Message.keep_alive(Options.KeepAlive);
  if (Options.KeepAlive && Options.KeepAliveTimeout.count() > 0)
    Message.set(http::field::keep_alive,
                "timeout=" + std::to_string(Options.KeepAliveTimeout.count()));
  Serializer.emplace(Message);
}

void AnswerWriter::write() {
  InFlight = std::move(Pending);
  Pending.clear();
  Sent += InFlight.size();
  auto &body = Message.body();
  body.data = InFlight.empty() ? nullptr : InFlight.data();
  body.size = InFlight.size();
  // A body of known length is complete with its last byte, one of unknown
  // length with the end event.
  const bool complete = Head->Length ? Sent == *Head->Length : IsEnded;
  body.more = !(IsBodyless || complete);
  IsWriting = true;
  Hooks.OnWriting(true);
  http::async_write(
      Socket, *Serializer,
      [this, owner = Owner.lock()](boost::system::error_code ec, std::size_t) {
        onWritten(ec);
      });
}

void AnswerWriter::onWritten(boost::system::error_code ec) {
  IsWriting = false;
  Hooks.OnWriting(false);
  if (ec && ec != http::error::need_buffer)
    return abort();
  acknowledge();
  pump();
}

/// Requests the next chunk if the producer is waiting for that.
void AnswerWriter::acknowledge() {
  if (auto more = std::exchange(More, nullptr))
    more();
}

void AnswerWriter::finish() {
  if (std::exchange(IsFinished, true))
    return;
  // The hook may destroy this writer: no member may be accessed afterwards.
  auto done = Hooks.OnDone;
  done(Options.KeepAlive);
}

void AnswerWriter::abort() {
  if (std::exchange(IsFinished, true))
    return;
  auto aborted = Hooks.OnAborted;
  aborted();
}

} // namespace magnoliamill::gateway::internal

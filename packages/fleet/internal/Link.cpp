// Sends and receives length-prefixed frames; several frames are sent with one
// write.
#include "fleet/Link.h"

#include "base/Log.h"
#include "fleet/internal/FrameCompression.h"

#include <boost/asio/write.hpp>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace magnoliamill::fleet {

using boost::asio::ip::tcp;

namespace {

/// A peer in another data centre answers within a few milliseconds.
constexpr auto ConnectTimeout = std::chrono::milliseconds(600);
/// The link is closed when sent bytes stay unacknowledged for this time: a
/// partition or a lost connection must be detected well within the 2 s in which
/// changes must take effect.
constexpr unsigned TcpUserTimeoutMs = 1000;
/// A whole view of 32768 stripes and some thousand routes takes about 2 MB.
constexpr std::size_t MaxFrameBytes = 64u << 20;
/// A peer that doesn't read is disconnected, because its queue would fill the
/// memory.
constexpr std::size_t MaxQueuedBytes = 24u << 20;
constexpr std::size_t MaxFramesPerWrite = 32;

/// Set in the header of a compressed frame; the other bits are its size.
constexpr std::uint32_t CompressedFlag = 1U << 31;

std::uint32_t readHeader(const char *bytes) {
  std::uint32_t header = 0;
  std::memcpy(&header, bytes, sizeof header);
  return header;
}

base::Result<Frame> readFrame(std::string_view bytes, bool compressed) {
  if (!compressed)
    return decodeFrame(bytes);
  auto plain = internal::decompressFrame(bytes, MaxFrameBytes);
  if (!plain)
    return base::fail(plain.error());
  return decodeFrame(plain.value());
}

} // namespace

EncodedFrame encodeShared(const Frame &frame) {
  EncodedBytes encoded{encodeFrame(frame), false};
  // Log entries are encoded for each member separately and sent only between
  // cores: compressing a long one would keep the leader from its heartbeats.
  const bool IsConsensus = std::holds_alternative<ConsensusBatch>(frame);
  if (!IsConsensus && encoded.Bytes.size() >= internal::MinCompressedBytes) {
    std::string compressed = internal::compressFrame(encoded.Bytes);
    if (!compressed.empty() && compressed.size() < encoded.Bytes.size())
      encoded = {std::move(compressed), true};
  }
  return std::make_shared<const EncodedBytes>(std::move(encoded));
}

Link::Link(boost::asio::io_context &context)
    : Socket(context), ConnectTimer(context), LastHeard(base::readMonotonic()) {
}

void Link::open(const std::string &host, std::uint16_t port, LinkHooks hooks) {
  Hooks = std::move(hooks);
  State = Phase::Connecting;
  ErrorCode ec;
  const auto address = boost::asio::ip::make_address(host, ec);
  if (ec)
    return fail("'" + host + "' is not an IP address");
  ConnectTimer.expires_after(ConnectTimeout);
  ConnectTimer.async_wait([self = shared_from_this()](ErrorCode result) {
    if (!result && self->State == Phase::Connecting)
      self->fail("connect timed out");
  });
  Socket.async_connect(tcp::endpoint(address, port),
                       [self = shared_from_this()](ErrorCode result) {
                         if (self->State != Phase::Connecting)
                           return;
                         if (result)
                           return self->fail("connect: " + result.message());
                         self->onOpen();
                       });
}

void Link::accept(tcp::socket socket, LinkHooks hooks) {
  Hooks = std::move(hooks);
  Socket = std::move(socket);
  onOpen();
}

void Link::onOpen() {
  ConnectTimer.cancel();
  State = Phase::Open;
  LastHeard = base::readMonotonic();
  ErrorCode ec;
  Socket.set_option(tcp::no_delay(true), ec);
  const unsigned timeout = TcpUserTimeoutMs;
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof timeout);
  read();
  write();
}

void Link::read() {
  Socket.async_read_some(
      boost::asio::buffer(ReadBuffer),
      [self = shared_from_this()](ErrorCode ec, std::size_t n) {
        if (self->State != Phase::Open)
          return;
        if (ec)
          return self->fail(ec.message());
        self->onRead(n);
      });
}

void Link::onRead(std::size_t n) {
  LastHeard = base::readMonotonic();
  if (Received.empty())
    FrameBegan = LastHeard;
  Received.append(ReadBuffer.data(), n);
  if (dispatchFrames())
    read();
}

/// Passes complete frames to OnFrame. False when the link was closed.
bool Link::dispatchFrames() {
  // A callback may close the link and drop the last reference to it.
  auto self = shared_from_this();
  std::size_t begin = 0;
  while (Received.size() - begin >= sizeof(std::uint32_t)) {
    const std::uint32_t header = readHeader(Received.data() + begin);
    const std::size_t length = header & ~CompressedFlag;
    if (length > MaxFrameBytes) {
      fail("received a frame of " + std::to_string(length) +
           " bytes, which exceeds the limit");
      return false;
    }
    if (Received.size() - begin - sizeof(std::uint32_t) < length)
      break;
    begin += sizeof(std::uint32_t);
    auto frame = readFrame(std::string_view(Received).substr(begin, length),
                           (header & CompressedFlag) != 0);
    begin += length;
    if (!frame) {
      fail(frame.error().Message);
      return false;
    }
    deliver(std::move(frame.value()));
    if (State != Phase::Open)
      return false;
    FrameBegan = LastHeard;
  }
  Received.erase(0, begin);
  return true;
}

void Link::deliver(Frame frame) {
  if (const auto *unknown = std::get_if<UnknownFrame>(&frame)) {
    if (!std::exchange(HasUnknownFrames, true))
      base::logInfo("link", "frames of an unknown kind are dropped",
                    {{"kind", unknown->Kind}, {"protocol", ProtocolVersion}});
    return;
  }
  if (Hooks.OnFrame)
    Hooks.OnFrame(std::move(frame));
}

void Link::send(EncodedFrame frame) {
  if (State == Phase::Closed)
    return;
  Queued += frame->Bytes.size();
  Queue.push_back(std::move(frame));
  if (Queued > MaxQueuedBytes)
    return fail("the send queue is full because the peer does not read");
  write();
}

void Link::write() {
  if (State != Phase::Open || !Writing.empty() || Queue.empty())
    return;
  WritingHeaders.clear();
  std::vector<boost::asio::const_buffer> buffers;
  while (!Queue.empty() && Writing.size() < MaxFramesPerWrite) {
    const auto &next = *Queue.front();
    Queued -= next.Bytes.size();
    WritingHeaders.push_back(static_cast<std::uint32_t>(next.Bytes.size()) |
                             (next.IsCompressed ? CompressedFlag : 0));
    Writing.push_back(std::move(Queue.front()));
    Queue.pop_front();
  }
  for (std::size_t i = 0; i < Writing.size(); ++i) {
    buffers.emplace_back(&WritingHeaders[i], sizeof WritingHeaders[i]);
    buffers.emplace_back(Writing[i]->Bytes.data(), Writing[i]->Bytes.size());
  }
  boost::asio::async_write(
      Socket, buffers, [self = shared_from_this()](ErrorCode ec, std::size_t) {
        if (self->State != Phase::Open)
          return;
        if (ec)
          return self->fail(ec.message());
        self->Writing.clear();
        self->write();
      });
}

void Link::fail(const std::string &reason) {
  if (State == Phase::Closed)
    return;
  auto closed = std::move(Hooks.OnClosed);
  close();
  // Posted, because the owner may be iterating over its links.
  boost::asio::post(Socket.get_executor(),
                    [closed = std::move(closed), reason] {
                      if (closed)
                        closed(reason);
                    });
}

void Link::close() {
  State = Phase::Closed;
  ErrorCode ec;
  Socket.close(ec);
  ConnectTimer.cancel();
  Hooks = {};
  Queue.clear();
  Queued = 0;
}

} // namespace magnoliamill::fleet

// One TCP connection between two VMs of a fleet, carrying frames.
#pragma once

#include "base/Time.h"
#include "fleet/Frame.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliamill::fleet {

/// An encoded frame. A frame that is sent over several links is encoded once
/// and shared.
struct EncodedBytes {
  std::string Bytes;
  bool IsCompressed = false;
};
using EncodedFrame = std::shared_ptr<const EncodedBytes>;
EncodedFrame encodeShared(const Frame &frame);

struct LinkHooks {
  std::function<void(Frame)> OnFrame;
  /// Called once when the connection has failed or could not be opened; not
  /// after close().
  std::function<void(std::string reason)> OnClosed;
};

/// Not thread-safe: all methods run on the thread of the event loop. The owner
/// must close a link before it drops its reference.
class Link : public std::enable_shared_from_this<Link> {
public:
  explicit Link(boost::asio::io_context &context);

  /// Connects to \p host, a numeric IP. Frames sent before the connection is
  /// open are queued.
  void open(const std::string &host, std::uint16_t port, LinkHooks hooks);
  /// Takes over an accepted connection.
  void accept(boost::asio::ip::tcp::socket socket, LinkHooks hooks);

  void send(const Frame &frame) { send(encodeShared(frame)); }
  void send(EncodedFrame frame);
  /// Closes the link without calling OnClosed.
  void close();

  bool isOpen() const { return State == Phase::Open; }
  /// When bytes were last received; before that, when the link was created or
  /// opened.
  base::MonoTime lastHeard() const { return LastHeard; }
  /// True while a frame has been received in part.
  bool isReceiving() const { return !Received.empty(); }
  /// When the first byte of the frame that is being received or delivered
  /// arrived.
  base::MonoTime frameBegan() const { return FrameBegan; }

private:
  enum class Phase { Idle, Connecting, Open, Closed };
  using ErrorCode = boost::system::error_code;

  void onOpen();
  void fail(const std::string &reason);
  void read();
  void onRead(std::size_t n);
  bool dispatchFrames();
  void deliver(Frame frame);
  void write();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer ConnectTimer;
  LinkHooks Hooks;
  Phase State = Phase::Idle;
  base::MonoTime LastHeard;
  base::MonoTime FrameBegan;
  std::array<char, 16384> ReadBuffer{};
  std::string Received;
  /// A frame of an unknown kind was received and logged.
  bool HasUnknownFrames = false;
  std::deque<EncodedFrame> Queue;
  /// Bytes in Queue.
  std::size_t Queued = 0;
  std::vector<EncodedFrame> Writing;
  /// The header of each frame in Writing: its size and whether it is
  /// compressed.
  std::vector<std::uint32_t> WritingHeaders;
};

} // namespace magnoliamill::fleet

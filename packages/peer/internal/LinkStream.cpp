// Implements reading ahead.
#include "peer/internal/LinkStream.h"

#include <algorithm>
#include <cstring>

namespace magnoliamill::peer::internal {
namespace {

constexpr std::size_t ReadAheadBytes = 64u << 10;

} // namespace

LinkStream::LinkStream(kj::Own<kj::AsyncIoStream> inner)
    : Inner(kj::mv(inner)), LastHeard(base::readMonotonic()),
      Buffer(ReadAheadBytes) {}

kj::Promise<std::size_t> LinkStream::tryRead(void *buffer, std::size_t least,
                                             std::size_t most) {
  auto *out = static_cast<kj::byte *>(buffer);
  std::size_t taken = takeBuffered(out, most);
  if (taken >= least)
    return taken;
  // Reads at least as long as the buffer bypass it.
  if (least - taken >= Buffer.size())
    return readDirectly(out, taken, least, most);
  return refill(out, taken, least, most);
}

std::size_t LinkStream::takeBuffered(kj::byte *out, std::size_t most) {
  std::size_t n = std::min(most, End - Begin);
  if (n > 0)
    std::memcpy(out, Buffer.data() + Begin, n);
  Begin += n;
  return n;
}

kj::Promise<std::size_t> LinkStream::refill(kj::byte *out, std::size_t taken,
                                            std::size_t least,
                                            std::size_t most) {
  // The buffer is empty here.
  std::size_t missing = least - taken;
  return Inner->tryRead(Buffer.data(), missing, Buffer.size())
      .then([this, out, taken, most](std::size_t n) {
        recordArrival(n);
        Begin = 0;
        End = n;
        return taken + takeBuffered(out + taken, most - taken);
      });
}

kj::Promise<std::size_t> LinkStream::readDirectly(kj::byte *out,
                                                  std::size_t taken,
                                                  std::size_t least,
                                                  std::size_t most) {
  // In pieces, so that a long message counts as activity while it is received.
  std::size_t piece = std::min(most - taken, Buffer.size());
  return Inner->tryRead(out + taken, 1, piece)
      .then([this, out, taken, least,
             most](std::size_t n) -> kj::Promise<std::size_t> {
        recordArrival(n);
        std::size_t total = taken + n;
        if (n == 0 || total >= least)
          return total;
        return readDirectly(out, total, least, most);
      });
}

void LinkStream::recordArrival(std::size_t n) {
  if (n > 0)
    LastHeard = base::readMonotonic();
}

kj::Promise<void> LinkStream::write(const void *buffer, std::size_t size) {
  return Inner->write(buffer, size);
}

kj::Promise<void>
LinkStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  return Inner->write(pieces);
}

kj::Promise<void> LinkStream::whenWriteDisconnected() {
  return Inner->whenWriteDisconnected();
}

void LinkStream::shutdownWrite() { Inner->shutdownWrite(); }

void LinkStream::abortRead() { Inner->abortRead(); }

void LinkStream::getsockopt(int level, int option, void *value,
                            kj::uint *length) {
  Inner->getsockopt(level, option, value, length);
}

void LinkStream::setsockopt(int level, int option, const void *value,
                            kj::uint length) {
  Inner->setsockopt(level, option, value, length);
}

void LinkStream::getsockname(struct sockaddr *address, kj::uint *length) {
  Inner->getsockname(address, length);
}

void LinkStream::getpeername(struct sockaddr *address, kj::uint *length) {
  Inner->getpeername(address, length);
}

} // namespace magnoliamill::peer::internal

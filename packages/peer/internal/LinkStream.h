// Provides a TCP stream that reads ahead, so that small messages share system
// calls, and that records when data last arrived.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <kj/async-io.h>
#include <vector>

namespace magnoliamill::peer::internal {

/// Used on the peer thread only.
class LinkStream final : public kj::AsyncIoStream {
public:
  explicit LinkStream(kj::Own<kj::AsyncIoStream> inner);

  /// When data last arrived; before that, the time of construction.
  base::MonoTime lastHeard() const { return LastHeard; }

  kj::Promise<std::size_t> tryRead(void *buffer, std::size_t least,
                                   std::size_t most) override;
  kj::Promise<void> write(const void *buffer, std::size_t size) override;
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;
  void getsockopt(int level, int option, void *value,
                  kj::uint *length) override;
  void setsockopt(int level, int option, const void *value,
                  kj::uint length) override;
  void getsockname(struct sockaddr *address, kj::uint *length) override;
  void getpeername(struct sockaddr *address, kj::uint *length) override;

private:
  std::size_t takeBuffered(kj::byte *out, std::size_t most);
  kj::Promise<std::size_t> refill(kj::byte *out, std::size_t taken,
                                  std::size_t least, std::size_t most);
  kj::Promise<std::size_t> readDirectly(kj::byte *out, std::size_t taken,
                                        std::size_t least, std::size_t most);
  void recordArrival(std::size_t n);

  kj::Own<kj::AsyncIoStream> Inner;
  base::MonoTime LastHeard;
  // Bytes [Begin, End) of Buffer were read from Inner and not yet returned.
  std::vector<kj::byte> Buffer;
  std::size_t Begin = 0;
  std::size_t End = 0;
};

} // namespace magnoliamill::peer::internal

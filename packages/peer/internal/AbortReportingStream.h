// Provides a message stream that reports why the RPC system aborts a link.
#pragma once

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <kj/string.h>

#include <functional>

namespace magnoliamill::peer::internal {

/// The RPC system ends a link that carried malformed input with an abort
/// message that states the reason: OnAbort is called with it before the message
/// is written.
class AbortReportingStream final : public capnp::MessageStream {
public:
  AbortReportingStream(kj::AsyncIoStream &stream,
                       std::function<void(kj::StringPtr)> abort)
      : Inner(stream), OnAbort(std::move(abort)) {}

  /// Stops the reports; called before this side closes the link.
  void ignoreAborts() { OnAbort = nullptr; }

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
  tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fds,
                 capnp::ReaderOptions options,
                 kj::ArrayPtr<capnp::word> scratch) override;
  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
          messages) override;
  kj::Maybe<int> getSendBufferSize() override;
  kj::Promise<void> end() override;

private:
  void
  reportAbort(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments);

  capnp::AsyncIoMessageStream Inner;
  std::function<void(kj::StringPtr)> OnAbort;
};

} // namespace magnoliamill::peer::internal

// Detects abort messages among those written to the stream.
#include "peer/internal/AbortReportingStream.h"

#include <capnp/rpc.capnp.h>

namespace magnoliamill::peer::internal {

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
AbortReportingStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fds,
                                     capnp::ReaderOptions options,
                                     kj::ArrayPtr<capnp::word> scratch) {
  return Inner.tryReadMessage(fds, options, scratch);
}

kj::Promise<void> AbortReportingStream::writeMessage(
    kj::ArrayPtr<const int> fds,
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  reportAbort(segments);
  return Inner.writeMessage(fds, segments);
}

kj::Promise<void> AbortReportingStream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
        messages) {
  for (auto segments : messages)
    reportAbort(segments);
  return Inner.writeMessages(messages);
}

kj::Maybe<int> AbortReportingStream::getSendBufferSize() {
  return Inner.getSendBufferSize();
}

kj::Promise<void> AbortReportingStream::end() { return Inner.end(); }

void AbortReportingStream::reportAbort(
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  if (!OnAbort)
    return;
  capnp::SegmentArrayMessageReader reader(segments);
  auto message = reader.getRoot<capnp::rpc::Message>();
  if (!message.isAbort())
    return;
  // An ordinary end of the connection is not caused by malformed input.
  auto fault = message.getAbort();
  if (fault.getType() != capnp::rpc::Exception::Type::DISCONNECTED)
    OnAbort(fault.getReason());
}

} // namespace magnoliamill::peer::internal

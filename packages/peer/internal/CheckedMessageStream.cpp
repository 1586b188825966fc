// Watching for abort messages.
#include "peer/internal/CheckedMessageStream.h"

#include <capnp/rpc.capnp.h>

namespace magnoliamill::peer::internal {

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
CheckedMessageStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fds,
                                     capnp::ReaderOptions options,
                                     kj::ArrayPtr<capnp::word> scratch) {
  return Inner.tryReadMessage(fds, options, scratch);
}

kj::Promise<void> CheckedMessageStream::writeMessage(
    kj::ArrayPtr<const int> fds,
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  inspect(segments);
  return Inner.writeMessage(fds, segments);
}

kj::Promise<void> CheckedMessageStream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
        messages) {
  for (auto segments : messages)
    inspect(segments);
  return Inner.writeMessages(messages);
}

kj::Maybe<int> CheckedMessageStream::getSendBufferSize() {
  return Inner.getSendBufferSize();
}

kj::Promise<void> CheckedMessageStream::end() { return Inner.end(); }

void CheckedMessageStream::inspect(
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  if (!OnAbort)
    return;
  capnp::SegmentArrayMessageReader reader(segments);
  auto message = reader.getRoot<capnp::rpc::Message>();
  if (!message.isAbort())
    return;
  // An ordinary end of the connection is no fault of the input.
  auto fault = message.getAbort();
  if (fault.getType() != capnp::rpc::Exception::Type::DISCONNECTED)
    OnAbort(fault.getReason());
}

} // namespace magnoliamill::peer::internal

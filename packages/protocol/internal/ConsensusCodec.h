// Converts the messages between replicas to and from the wire format.
#pragma once

#include "protocol/Messages.h"
#include "protocol/internal/Wire.h"

#include <cstddef>
#include <vector>

namespace magnoliamill::protocol::internal {

/// The decoders throw kj::Exception when an enum or union has a value that
/// this version does not know.
wire::GroupKind encode(GroupKind group);
GroupKind decode(wire::GroupKind group);

void encode(const std::vector<consensus::Entry> &entries,
            capnp::List<wire::Entry>::Builder builder);
std::vector<consensus::Entry> decode(capnp::List<wire::Entry>::Reader reader);

void encode(const GroupMessage &message, wire::GroupMessage::Builder builder);
GroupMessage decode(wire::GroupMessage::Reader reader);

/// Upper estimate of the bytes that a value takes on the wire.
std::size_t estimateBytes(const GroupMessage &message);
std::size_t estimateBytes(const std::vector<consensus::Entry> &entries);

} // namespace magnoliamill::protocol::internal

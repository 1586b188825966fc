// Converts the calls between VMs to and from the wire format.
#pragma once

#include "protocol/Messages.h"
#include "protocol/internal/Wire.h"

#include <cstddef>

namespace magnoliamill::protocol::internal {

/// Each plain type has an encoder into its builder and a decoder from its
/// reader. The decoders throw kj::Exception on malformed input.
void encode(const ProposeRequest &value, wire::ProposeRequest::Builder builder);
ProposeRequest decode(wire::ProposeRequest::Reader reader);
void encode(const ProposeReply &value, wire::ProposeReply::Builder builder);
ProposeReply decode(wire::ProposeReply::Reader reader);

void encode(const FetchRequest &value, wire::FetchRequest::Builder builder);
FetchRequest decode(wire::FetchRequest::Reader reader);
void encode(const FetchReply &value, wire::FetchReply::Builder builder);
FetchReply decode(wire::FetchReply::Reader reader);

void encode(const LeaseRequest &value, wire::LeaseRequest::Builder builder);
LeaseRequest decode(wire::LeaseRequest::Reader reader);
void encode(const LeaseReply &value, wire::LeaseReply::Builder builder);
LeaseReply decode(wire::LeaseReply::Reader reader);

void encode(const AnnounceRequest &value,
            wire::AnnounceRequest::Builder builder);
AnnounceRequest decode(wire::AnnounceRequest::Reader reader);
void encode(const AnnounceReply &value, wire::AnnounceReply::Builder builder);
AnnounceReply decode(wire::AnnounceReply::Reader reader);

void encode(const LedgerRequest &value, wire::LedgerRequest::Builder builder);
LedgerRequest decode(wire::LedgerRequest::Reader reader);
void encode(const LedgerReply &value, wire::LedgerReply::Builder builder);
LedgerReply decode(wire::LedgerReply::Reader reader);

void encode(const QueryRequest &value, wire::QueryRequest::Builder builder);
QueryRequest decode(wire::QueryRequest::Reader reader);
void encode(const QueryReply &value, wire::QueryReply::Builder builder);
QueryReply decode(wire::QueryReply::Reader reader);

void encode(const ForwardRequest &value, wire::ForwardRequest::Builder builder);
ForwardRequest decode(wire::ForwardRequest::Reader reader);
void encode(const AnswerHead &value, wire::AnswerHead::Builder builder);
AnswerHead decode(wire::AnswerHead::Reader reader);

void encode(const RequestFailure &value, wire::Failure::Builder builder);
RequestFailure decode(wire::Failure::Reader reader);
/// The failure of any call except forward.
void encode(const base::Error &value, wire::Failure::Builder builder);
base::Error decodeError(wire::Failure::Reader reader);

/// Upper estimate of the bytes that a value takes on the wire, so that its
/// message is built in one segment.
std::size_t estimateBytes(const ProposeRequest &value);
std::size_t estimateBytes(const FetchRequest &value);
std::size_t estimateBytes(const LeaseRequest &value);
std::size_t estimateBytes(const AnnounceRequest &value);
std::size_t estimateBytes(const LedgerRequest &value);
std::size_t estimateBytes(const QueryRequest &value);
std::size_t estimateBytes(const ForwardRequest &value);
std::size_t estimateBytes(const AnswerHead &value);

} // namespace magnoliamill::protocol::internal

// Implements the codec of the calls between VMs.
#include "protocol/internal/CallCodec.h"

#include "protocol/internal/ConsensusCodec.h"

#include <kj/debug.h>

namespace magnoliamill::protocol::internal {
namespace {

// Upper bound of the fixed part of one value on the wire, in bytes.
constexpr std::size_t FixedBytes = 256;
// One header: two pointers, two terminators, padding.
constexpr std::size_t FixedHeaderBytes = 32;

capnp::uint sizeOf(const auto &list) {
  return static_cast<capnp::uint>(list.size());
}

void encode(const std::vector<HttpHeader> &headers,
            capnp::List<wire::HttpHeader>::Builder builder) {
  for (capnp::uint i = 0; i < builder.size(); ++i) {
    builder[i].setName(asText(headers[i].Name));
    builder[i].setValue(asText(headers[i].Value));
  }
}

std::vector<HttpHeader> decode(capnp::List<wire::HttpHeader>::Reader reader) {
  std::vector<HttpHeader> headers;
  headers.reserve(reader.size());
  for (auto header : reader)
    headers.push_back(
        {toString(header.getName()), toString(header.getValue())});
  return headers;
}

wire::LedgerStep encode(LedgerStep step) {
  switch (step) {
  case LedgerStep::Begin:
    return wire::LedgerStep::BEGIN;
  case LedgerStep::Finish:
    return wire::LedgerStep::FINISH;
  case LedgerStep::Forget:
    return wire::LedgerStep::FORGET;
  case LedgerStep::Lookup:
    return wire::LedgerStep::LOOKUP;
  }
  KJ_UNREACHABLE;
}

LedgerStep decode(wire::LedgerStep step) {
  switch (step) {
  case wire::LedgerStep::BEGIN:
    return LedgerStep::Begin;
  case wire::LedgerStep::FINISH:
    return LedgerStep::Finish;
  case wire::LedgerStep::FORGET:
    return LedgerStep::Forget;
  case wire::LedgerStep::LOOKUP:
    return LedgerStep::Lookup;
  }
  KJ_FAIL_REQUIRE("unknown ledger step");
}

std::size_t estimateBytes(const std::vector<HttpHeader> &headers) {
  std::size_t bytes = 0;
  for (const auto &header : headers)
    bytes += FixedHeaderBytes + header.Name.size() + header.Value.size();
  return bytes;
}

} // namespace

void encode(const ProposeRequest &value,
            wire::ProposeRequest::Builder builder) {
  builder.setGroup(encode(value.Group));
  builder.setCommand(asData(value.Command));
}

ProposeRequest decode(wire::ProposeRequest::Reader reader) {
  return {decode(reader.getGroup()), toString(reader.getCommand())};
}

void encode(const ProposeReply &value, wire::ProposeReply::Builder builder) {
  builder.setIndex(value.Index);
  builder.setOutcome(asData(value.Outcome));
}

ProposeReply decode(wire::ProposeReply::Reader reader) {
  return {reader.getIndex(), toString(reader.getOutcome())};
}

void encode(const FetchRequest &value, wire::FetchRequest::Builder builder) {
  builder.setGroup(encode(value.Group));
  builder.setAfter(value.After);
  builder.setWaitMs(value.WaitMs);
  builder.setVm(asText(value.Vm.Value));
  builder.setInForce(value.InForce);
}

FetchRequest decode(wire::FetchRequest::Reader reader) {
  return {decode(reader.getGroup()), reader.getAfter(), reader.getWaitMs(),
          base::VmId(toString(reader.getVm())), reader.getInForce()};
}

void encode(const FetchReply &value, wire::FetchReply::Builder builder) {
  if (value.Snapshot)
    builder.setSnapshot(asData(*value.Snapshot));
  builder.setSnapshotIndex(value.SnapshotIndex);
  encode(value.Entries, builder.initEntries(sizeOf(value.Entries)));
  builder.setCommit(value.Commit);
}

FetchReply decode(wire::FetchReply::Reader reader) {
  FetchReply value;
  if (reader.hasSnapshot())
    value.Snapshot = toString(reader.getSnapshot());
  value.SnapshotIndex = reader.getSnapshotIndex();
  value.Entries = decode(reader.getEntries());
  value.Commit = reader.getCommit();
  return value;
}

void encode(const LeaseRequest &value, wire::LeaseRequest::Builder builder) {
  builder.setVm(asText(value.Vm.Value));
  builder.setIncarnation(value.Incarnation);
  builder.setSentAtUs(value.SentAtUs);
  builder.setLeaving(value.Leaving);
  builder.setReport(asData(value.Report));
}

LeaseRequest decode(wire::LeaseRequest::Reader reader) {
  return {base::VmId(toString(reader.getVm())), reader.getIncarnation(),
          reader.getSentAtUs(), reader.getLeaving(),
          toString(reader.getReport())};
}

void encode(const LeaseReply &value, wire::LeaseReply::Builder builder) {
  builder.setSentAtUs(value.SentAtUs);
  builder.setDurationMs(value.DurationMs);
  builder.setGranted(value.Granted);
}

LeaseReply decode(wire::LeaseReply::Reader reader) {
  return {reader.getSentAtUs(), reader.getDurationMs(), reader.getGranted()};
}

void encode(const AnnounceRequest &value,
            wire::AnnounceRequest::Builder builder) {
  builder.setAnnouncement(asData(value.Announcement));
}

AnnounceRequest decode(wire::AnnounceRequest::Reader reader) {
  return {toString(reader.getAnnouncement())};
}

void encode(const AnnounceReply &value, wire::AnnounceReply::Builder builder) {
  builder.setReply(asData(value.Reply));
}

AnnounceReply decode(wire::AnnounceReply::Reader reader) {
  return {toString(reader.getReply())};
}

void encode(const LedgerRequest &value, wire::LedgerRequest::Builder builder) {
  builder.setStep(encode(value.Step));
  builder.setService(asText(value.Service.Value));
  builder.setIdempotencyKey(asText(value.IdempotencyKey));
  builder.setRequest(asText(value.Request.Value));
  builder.setStatus(value.Status);
  encode(value.Headers, builder.initHeaders(sizeOf(value.Headers)));
  builder.setBody(asData(value.Body));
}

LedgerRequest decode(wire::LedgerRequest::Reader reader) {
  return {decode(reader.getStep()),
          base::ServiceId(toString(reader.getService())),
          toString(reader.getIdempotencyKey()),
          base::RequestId(toString(reader.getRequest())),
          reader.getStatus(),
          decode(reader.getHeaders()),
          toString(reader.getBody())};
}

void encode(const LedgerReply &value, wire::LedgerReply::Builder builder) {
  builder.setComplete(value.Complete);
  builder.setKnown(value.Known);
  builder.setFinished(value.Finished);
  builder.setStatus(value.Status);
  encode(value.Headers, builder.initHeaders(sizeOf(value.Headers)));
  builder.setBody(asData(value.Body));
}

LedgerReply decode(wire::LedgerReply::Reader reader) {
  return {reader.getComplete(),        reader.getKnown(),
          reader.getFinished(),        reader.getStatus(),
          decode(reader.getHeaders()), toString(reader.getBody())};
}

void encode(const QueryRequest &value, wire::QueryRequest::Builder builder) {
  builder.setWhat(asText(value.What));
  builder.setArgument(asText(value.Argument));
}

QueryRequest decode(wire::QueryRequest::Reader reader) {
  return {toString(reader.getWhat()), toString(reader.getArgument())};
}

void encode(const QueryReply &value, wire::QueryReply::Builder builder) {
  builder.setDocument(asData(value.Document));
}

QueryReply decode(wire::QueryReply::Reader reader) {
  return {toString(reader.getDocument())};
}

void encode(const ForwardRequest &value,
            wire::ForwardRequest::Builder builder) {
  builder.setId(asText(value.Id.Value));
  builder.setService(asText(value.Service.Value));
  builder.setClientAccount(asText(value.ClientAccount.Value));
  builder.setKey(asText(value.Key));
  builder.setIdempotencyKey(asText(value.IdempotencyKey));
  builder.setMethod(asText(value.Method));
  builder.setTarget(asText(value.Target));
  encode(value.Headers, builder.initHeaders(sizeOf(value.Headers)));
  builder.setBody(asData(value.Body));
  builder.setDeadlineMs(value.DeadlineMs);
  builder.setHops(value.Hops);
}

ForwardRequest decode(wire::ForwardRequest::Reader reader) {
  ForwardRequest value;
  value.Id = base::RequestId(toString(reader.getId()));
  value.Service = base::ServiceId(toString(reader.getService()));
  value.ClientAccount =
      base::ClientAccountId(toString(reader.getClientAccount()));
  value.Key = toString(reader.getKey());
  value.IdempotencyKey = toString(reader.getIdempotencyKey());
  value.Method = toString(reader.getMethod());
  value.Target = toString(reader.getTarget());
  value.Headers = decode(reader.getHeaders());
  value.Body = toString(reader.getBody());
  value.DeadlineMs = reader.getDeadlineMs();
  value.Hops = reader.getHops();
  return value;
}

void encode(const AnswerHead &value, wire::AnswerHead::Builder builder) {
  builder.setStatus(value.Status);
  encode(value.Headers, builder.initHeaders(sizeOf(value.Headers)));
  if (value.Length)
    builder.getLength().setKnown(*value.Length);
  builder.setServedBy(asText(value.ServedBy));
}

AnswerHead decode(wire::AnswerHead::Reader reader) {
  AnswerHead value;
  value.Status = reader.getStatus();
  value.Headers = decode(reader.getHeaders());
  if (reader.getLength().isKnown())
    value.Length = reader.getLength().getKnown();
  value.ServedBy = toString(reader.getServedBy());
  return value;
}

void encode(const RequestFailure &value, wire::Failure::Builder builder) {
  builder.setCode(base::numberOf(value.Code));
  builder.setMessage(asText(value.Message));
  builder.setRetryAfterMs(value.RetryAfterMs);
}

RequestFailure decode(wire::Failure::Reader reader) {
  return {static_cast<base::ResultCode>(reader.getCode()),
          toString(reader.getMessage()), reader.getRetryAfterMs()};
}

void encode(const base::Error &value, wire::Failure::Builder builder) {
  builder.setCode(base::numberOf(value.Code));
  builder.setMessage(asText(value.Message));
}

base::Error decodeError(wire::Failure::Reader reader) {
  return {static_cast<base::ResultCode>(reader.getCode()),
          toString(reader.getMessage())};
}

std::size_t estimateBytes(const ProposeRequest &value) {
  return FixedBytes + value.Command.size();
}

std::size_t estimateBytes(const FetchRequest &value) {
  return FixedBytes + value.Vm.Value.size();
}

std::size_t estimateBytes(const LeaseRequest &value) {
  return FixedBytes + value.Vm.Value.size() + value.Report.size();
}

std::size_t estimateBytes(const AnnounceRequest &value) {
  return FixedBytes + value.Announcement.size();
}

std::size_t estimateBytes(const LedgerRequest &value) {
  return FixedBytes + value.Service.Value.size() + value.IdempotencyKey.size() +
         value.Request.Value.size() + estimateBytes(value.Headers) +
         value.Body.size();
}

std::size_t estimateBytes(const QueryRequest &value) {
  return FixedBytes + value.What.size() + value.Argument.size();
}

std::size_t estimateBytes(const ForwardRequest &value) {
  return FixedBytes + value.Id.Value.size() + value.Service.Value.size() +
         value.ClientAccount.Value.size() + value.Key.size() +
         value.IdempotencyKey.size() + value.Method.size() +
         value.Target.size() + estimateBytes(value.Headers) + value.Body.size();
}

std::size_t estimateBytes(const AnswerHead &value) {
  return FixedBytes + estimateBytes(value.Headers) + value.ServedBy.size();
}

} // namespace magnoliamill::protocol::internal

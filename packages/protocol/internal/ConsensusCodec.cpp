// Implements the codec of the messages between replicas.
#include "protocol/internal/ConsensusCodec.h"

#include <kj/debug.h>

namespace magnoliamill::protocol::internal {
namespace {

using consensus::EntryKind;

// Upper bounds of the fixed part of one entry or message on the wire, in bytes.
constexpr std::size_t FixedEntryBytes = 64;
constexpr std::size_t FixedMessageBytes = 192;

capnp::uint sizeOf(const auto &list) {
  return static_cast<capnp::uint>(list.size());
}

wire::EntryKind encode(EntryKind kind) {
  switch (kind) {
  case EntryKind::Command:
    return wire::EntryKind::COMMAND;
  case EntryKind::Membership:
    return wire::EntryKind::MEMBERSHIP;
  case EntryKind::NoOp:
    return wire::EntryKind::NO_OP;
  }
  KJ_UNREACHABLE;
}

EntryKind decode(wire::EntryKind kind) {
  switch (kind) {
  case wire::EntryKind::COMMAND:
    return EntryKind::Command;
  case wire::EntryKind::MEMBERSHIP:
    return EntryKind::Membership;
  case wire::EntryKind::NO_OP:
    return EntryKind::NoOp;
  }
  KJ_FAIL_REQUIRE("unknown entry kind");
}

void encode(const consensus::ReplicaId &id, wire::ReplicaId::Builder builder) {
  builder.setVm(asText(id.Vm.Value));
  builder.setIncarnation(id.Incarnation);
}

consensus::ReplicaId decode(wire::ReplicaId::Reader reader) {
  return {base::VmId(toString(reader.getVm())), reader.getIncarnation()};
}

void encode(const std::vector<consensus::ReplicaId> &ids,
            capnp::List<wire::ReplicaId>::Builder builder) {
  for (capnp::uint i = 0; i < builder.size(); ++i)
    encode(ids[i], builder[i]);
}

std::vector<consensus::ReplicaId>
decode(capnp::List<wire::ReplicaId>::Reader reader) {
  std::vector<consensus::ReplicaId> ids;
  ids.reserve(reader.size());
  for (auto id : reader)
    ids.push_back(decode(id));
  return ids;
}

// Encodes each alternative of consensus::MessageBody.
struct BodyEncoder {
  wire::GroupMessage::Body::Builder Body;

  void operator()(const consensus::VoteRequest &value) {
    auto builder = Body.initVoteRequest();
    builder.setLastIndex(value.LastIndex);
    builder.setLastTerm(value.LastTerm);
    builder.setPreVote(value.PreVote);
    builder.setTransfer(value.Transfer);
  }
  void operator()(const consensus::VoteReply &value) {
    auto builder = Body.initVoteReply();
    builder.setPreVote(value.PreVote);
    builder.setGranted(value.Granted);
  }
  void operator()(const consensus::AppendRequest &value) {
    auto builder = Body.initAppendRequest();
    builder.setPreviousIndex(value.PreviousIndex);
    builder.setPreviousTerm(value.PreviousTerm);
    builder.setCommit(value.Commit);
    internal::encode(value.Entries, builder.initEntries(sizeOf(value.Entries)));
    builder.setRound(value.Round);
  }
  void operator()(const consensus::AppendReply &value) {
    auto builder = Body.initAppendReply();
    builder.setMatched(value.Matched);
    builder.setIndex(value.Index);
    builder.setRound(value.Round);
  }
  void operator()(const consensus::SnapshotRequest &value) {
    auto builder = Body.initSnapshotRequest();
    builder.setLastIndex(value.LastIndex);
    builder.setLastTerm(value.LastTerm);
    auto members = builder.initMembers();
    encode(value.Members.Voters,
           members.initVoters(sizeOf(value.Members.Voters)));
    encode(value.Members.Learners,
           members.initLearners(sizeOf(value.Members.Learners)));
    builder.setOffset(value.Offset);
    builder.setData(asData(value.Data));
    builder.setLast(value.Last);
    builder.setRound(value.Round);
  }
  void operator()(const consensus::SnapshotReply &value) {
    auto builder = Body.initSnapshotReply();
    builder.setLastIndex(value.LastIndex);
    builder.setNextOffset(value.NextOffset);
    builder.setRound(value.Round);
  }
  void operator()(const consensus::TimeoutNow &) { Body.setTimeoutNow(); }
};

consensus::AppendRequest decodeAppend(wire::AppendRequest::Reader reader) {
  consensus::AppendRequest value;
  value.PreviousIndex = reader.getPreviousIndex();
  value.PreviousTerm = reader.getPreviousTerm();
  value.Commit = reader.getCommit();
  value.Entries = internal::decode(reader.getEntries());
  value.Round = reader.getRound();
  return value;
}

consensus::SnapshotRequest
decodeSnapshot(wire::SnapshotRequest::Reader reader) {
  consensus::SnapshotRequest value;
  value.LastIndex = reader.getLastIndex();
  value.LastTerm = reader.getLastTerm();
  value.Members = {decode(reader.getMembers().getVoters()),
                   decode(reader.getMembers().getLearners())};
  value.Offset = reader.getOffset();
  value.Data = toString(reader.getData());
  value.Last = reader.getLast();
  value.Round = reader.getRound();
  return value;
}

consensus::MessageBody decode(wire::GroupMessage::Body::Reader reader) {
  using Body = wire::GroupMessage::Body;
  switch (reader.which()) {
  case Body::VOTE_REQUEST: {
    auto vote = reader.getVoteRequest();
    return consensus::VoteRequest{vote.getLastIndex(), vote.getLastTerm(),
                                  vote.getPreVote(), vote.getTransfer()};
  }
  case Body::VOTE_REPLY: {
    auto reply = reader.getVoteReply();
    return consensus::VoteReply{reply.getPreVote(), reply.getGranted()};
  }
  case Body::APPEND_REQUEST:
    return decodeAppend(reader.getAppendRequest());
  case Body::APPEND_REPLY: {
    auto reply = reader.getAppendReply();
    return consensus::AppendReply{reply.getMatched(), reply.getIndex(),
                                  reply.getRound()};
  }
  case Body::SNAPSHOT_REQUEST:
    return decodeSnapshot(reader.getSnapshotRequest());
  case Body::SNAPSHOT_REPLY: {
    auto reply = reader.getSnapshotReply();
    return consensus::SnapshotReply{reply.getLastIndex(), reply.getNextOffset(),
                                    reply.getRound()};
  }
  case Body::TIMEOUT_NOW:
    return consensus::TimeoutNow{};
  }
  KJ_FAIL_REQUIRE("unknown group message kind");
}

} // namespace

wire::GroupKind encode(GroupKind group) {
  return group == GroupKind::Settings ? wire::GroupKind::SETTINGS
                                      : wire::GroupKind::DATA_CENTRE;
}

GroupKind decode(wire::GroupKind group) {
  switch (group) {
  case wire::GroupKind::SETTINGS:
    return GroupKind::Settings;
  case wire::GroupKind::DATA_CENTRE:
    return GroupKind::DataCentre;
  }
  KJ_FAIL_REQUIRE("unknown group");
}

void encode(const std::vector<consensus::Entry> &entries,
            capnp::List<wire::Entry>::Builder builder) {
  for (capnp::uint i = 0; i < builder.size(); ++i) {
    auto entry = builder[i];
    entry.setIndex(entries[i].Index);
    entry.setTerm(entries[i].Term);
    entry.setKind(encode(entries[i].Kind));
    entry.setCommand(asData(entries[i].Command));
  }
}

std::vector<consensus::Entry> decode(capnp::List<wire::Entry>::Reader reader) {
  std::vector<consensus::Entry> entries;
  entries.reserve(reader.size());
  for (auto entry : reader)
    entries.push_back({entry.getIndex(), entry.getTerm(),
                       decode(entry.getKind()), toString(entry.getCommand())});
  return entries;
}

void encode(const GroupMessage &message, wire::GroupMessage::Builder builder) {
  builder.setGroup(encode(message.Group));
  encode(message.Message.From, builder.initFrom());
  encode(message.Message.To, builder.initTo());
  builder.setTerm(message.Message.Term);
  std::visit(BodyEncoder{builder.initBody()}, message.Message.Body);
}

GroupMessage decode(wire::GroupMessage::Reader reader) {
  GroupMessage message;
  message.Group = decode(reader.getGroup());
  message.Message.From = decode(reader.getFrom());
  message.Message.To = decode(reader.getTo());
  message.Message.Term = reader.getTerm();
  message.Message.Body = decode(reader.getBody());
  return message;
}

std::size_t estimateBytes(const std::vector<consensus::Entry> &entries) {
  std::size_t bytes = 0;
  for (const auto &entry : entries)
    bytes += FixedEntryBytes + entry.Command.size();
  return bytes;
}

std::size_t estimateBytes(const GroupMessage &message) {
  std::size_t bytes = FixedMessageBytes + message.Message.From.Vm.Value.size() +
                      message.Message.To.Vm.Value.size();
  const auto &body = message.Message.Body;
  if (const auto *append = std::get_if<consensus::AppendRequest>(&body))
    bytes += estimateBytes(append->Entries);
  if (const auto *snapshot = std::get_if<consensus::SnapshotRequest>(&body))
    bytes += snapshot->Data.size();
  return bytes;
}

} // namespace magnoliamill::protocol::internal

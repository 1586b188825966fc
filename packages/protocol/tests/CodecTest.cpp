// Checks that values are equal after encoding and decoding, and that values
// unknown to this version are refused, not misread.
#include "protocol/internal/CallCodec.h"
#include "protocol/internal/ConsensusCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::protocol;

namespace {

template <typename Wire, typename Plain> Plain copyOverWire(const Plain &in) {
  capnp::MallocMessageBuilder message;
  internal::encode(in, message.initRoot<Wire>());
  return internal::decode(message.getRoot<Wire>().asReader());
}

GroupMessage wrap(consensus::MessageBody body) {
  GroupMessage message;
  message.Group = GroupKind::DataCentre;
  message.Message = {{base::VmId("vm-1"), 3}, {base::VmId("vm-2"), 4}, 7, body};
  return message;
}

GroupMessage copy(const GroupMessage &message) {
  return copyOverWire<wire::GroupMessage>(message);
}

template <typename Body> Body copyBody(Body body) {
  return std::get<Body>(copy(wrap(body)).Message.Body);
}

} // namespace

TEST_CASE("Group messages keep every field over the wire", "[protocol]") {
  SECTION("group, sender, receiver and term") {
    auto got = copy(wrap(consensus::TimeoutNow{}));
    REQUIRE(got.Group == GroupKind::DataCentre);
    REQUIRE(got.Message.From == consensus::ReplicaId{base::VmId("vm-1"), 3});
    REQUIRE(got.Message.To == consensus::ReplicaId{base::VmId("vm-2"), 4});
    REQUIRE(got.Message.Term == 7);
    REQUIRE(std::holds_alternative<consensus::TimeoutNow>(got.Message.Body));
  }
  SECTION("votes") {
    auto vote = copyBody(consensus::VoteRequest{5, 6, true, true});
    REQUIRE((vote.LastIndex == 5 && vote.LastTerm == 6));
    REQUIRE((vote.PreVote && vote.Transfer));
    auto reply = copyBody(consensus::VoteReply{false, true});
    REQUIRE((!reply.PreVote && reply.Granted));
  }
  SECTION("appends with entries of any bytes") {
    bool passed =
        rc::check([](const std::string &command, std::uint64_t index) {
          consensus::Entry entry{index, 9, consensus::EntryKind::Membership,
                                 command};
          auto got = copyBody(consensus::AppendRequest{1, 2, 3, {entry}, 4});
          RC_ASSERT(got.Entries == std::vector{entry});
          RC_ASSERT(got.PreviousIndex == 1u && got.PreviousTerm == 2u);
          RC_ASSERT(got.Commit == 3u && got.Round == 4u);
        });
    REQUIRE(passed);
    auto reply = copyBody(consensus::AppendReply{true, 8, 9});
    REQUIRE((reply.Matched && reply.Index == 8 && reply.Round == 9));
  }
  SECTION("snapshots") {
    const std::string bytes("\0x\xff", 3);
    consensus::Membership members{{{base::VmId("a"), 1}},
                                  {{base::VmId("b"), 2}}};
    auto got =
        copyBody(consensus::SnapshotRequest{1, 2, members, 3, bytes, false, 4});
    REQUIRE(got.Data == bytes);
    REQUIRE(got.Members == members);
    REQUIRE((got.LastIndex == 1 && got.LastTerm == 2 && got.Offset == 3));
    REQUIRE((!got.Last && got.Round == 4));
    auto reply = copyBody(consensus::SnapshotReply{1, 2, 3});
    REQUIRE((reply.LastIndex == 1 && reply.NextOffset == 2));
    REQUIRE(reply.Round == 3);
  }
}

TEST_CASE("Calls keep every field over the wire", "[protocol]") {
  SECTION("forwarded requests of any bytes") {
    bool passed = rc::check([](const std::string &key, const std::string &body,
                               std::uint32_t deadline) {
      ForwardRequest in{base::RequestId("r"),
                        base::ServiceId("s"),
                        base::ClientAccountId("p"),
                        key,
                        "once",
                        "POST",
                        "/x?y",
                        {{"A", "b"}, {"C", ""}},
                        body,
                        deadline,
                        2};
      auto got = copyOverWire<wire::ForwardRequest>(in);
      RC_ASSERT(got.Key == key && got.Body == body);
      RC_ASSERT(got.DeadlineMs == deadline && got.Hops == 2);
      RC_ASSERT(got.Headers.size() == 2u && got.Headers[0].Value == "b");
      RC_ASSERT(got.Id == in.Id && got.Service == in.Service);
      RC_ASSERT(got.ClientAccount == in.ClientAccount &&
                got.Method == in.Method);
      RC_ASSERT(got.Target == in.Target);
      RC_ASSERT(got.IdempotencyKey == in.IdempotencyKey);
    });
    REQUIRE(passed);
  }
  SECTION("an unknown length is not a length of zero") {
    AnswerHead head{200, {}, std::nullopt, "vm-1"};
    REQUIRE_FALSE(copyOverWire<wire::AnswerHead>(head).Length);
    head.Length = 0;
    REQUIRE(copyOverWire<wire::AnswerHead>(head).Length == 0u);
  }
  SECTION("an empty snapshot is not an absent one") {
    FetchReply reply;
    REQUIRE_FALSE(copyOverWire<wire::FetchReply>(reply).Snapshot);
    reply.Snapshot = "";
    REQUIRE(copyOverWire<wire::FetchReply>(reply).Snapshot == "");
  }
  SECTION("failures keep code, message and retry delay") {
    RequestFailure in{base::ResultCode::NotRunQueueFull, "full", 250};
    auto got = copyOverWire<wire::Failure>(in);
    REQUIRE(got.Code == in.Code);
    REQUIRE(got.Message == "full");
    REQUIRE(got.RetryAfterMs == 250);
  }
  SECTION("ledger steps") {
    for (auto step : {LedgerStep::Begin, LedgerStep::Finish, LedgerStep::Forget,
                      LedgerStep::Lookup}) {
      LedgerRequest in;
      in.Step = step;
      in.Status = 201;
      in.Headers = {{"A", "b"}};
      auto got = copyOverWire<wire::LedgerRequest>(in);
      REQUIRE(got.Step == step);
      REQUIRE(got.Status == 201);
      REQUIRE(got.Headers.at(0).Name == "A");
    }
  }
}

TEST_CASE("An enum value of a later version is refused", "[protocol]") {
  capnp::MallocMessageBuilder message;
  auto request = message.initRoot<wire::ProposeRequest>();
  request.setGroup(static_cast<wire::GroupKind>(9));
  REQUIRE_THROWS_AS(internal::decode(request.asReader()), kj::Exception);
}

// Parsers reject invalid input, encoded values can be parsed again, and the
// state machine ignores commands whose preconditions don't hold.
#include "ownership/Announcement.h"
#include "ownership/Commands.h"
#include "ownership/GrantCodec.h"
#include "ownership/StateMachine.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::ownership;
using base::ResultCode;

namespace {

Announcement makeTarget(const std::string &instance) {
  Announcement it;
  it.Instance = base::TargetInstanceId(instance);
  it.Name = "barn1";
  it.Service = base::ServiceId("barnstock");
  it.DataCentre = base::DataCentreId("dc1");
  it.Host = "127.0.0.1";
  it.Port = 9001;
  it.ChecksTokens = true;
  return it;
}

} // namespace

TEST_CASE("Announcements are checked", "[ownership]") {
  auto it = makeTarget("i1");
  REQUIRE(parseAnnouncement(encodeAnnouncement(it)).value().Port == 9001);

  SECTION("malformed JSON or missing fields are refused") {
    REQUIRE(parseAnnouncement("{").error().Code == ResultCode::JsonMalformed);
    REQUIRE(parseAnnouncement("[]").error().Code == ResultCode::WrongType);
    REQUIRE(parseAnnouncement("{}").error().Code == ResultCode::MissingField);
  }
  SECTION("a host name is refused, only numeric IPs are accepted") {
    it.Host = "barn.example";
    REQUIRE(parseAnnouncement(encodeAnnouncement(it)).error().Code ==
            ResultCode::AnnouncementInvalid);
  }
  SECTION("zero slots are refused") {
    it.Slots = 0;
    REQUIRE(parseAnnouncement(encodeAnnouncement(it)).error().Code ==
            ResultCode::OutOfRange);
  }
  SECTION("hosts are allowed by prefix") {
    const std::vector<std::string> rules{"10.1.0.0/16", "127.0.0.1"};
    REQUIRE(isHostAllowed("10.1.200.3", rules));
    REQUIRE(isHostAllowed("127.0.0.1", rules));
    REQUIRE_FALSE(isHostAllowed("10.2.0.1", rules));
  }
}

TEST_CASE("Grants follow the target protocol", "[ownership]") {
  const GrantRequest grant{
      base::VmId("vm3"), base::TargetInstanceId("i1"), {4, 118}, 81234, 800,
      {{3, {4, 97}}}};
  REQUIRE(encodeGrant(grant) ==
          R"({"dispatcher":"vm3","instance":"i1","dispatch_token":"4.118",)"
          R"("as_of":81234,"ttl_ms":800,"slots":[{"slot":3,"token":"4.97"}]})");
  REQUIRE(parseGrant(encodeGrant(grant)).value().Slots[0].Token ==
          base::Token{4, 97});
  const auto refused = parseGrantReply(R"({"accepted":false,"highest":"4.9"})");
  REQUIRE(refused.value().Highest == base::Token{4, 9});
}

TEST_CASE("Commands whose preconditions do not hold have no effect",
          "[ownership]") {
  StateMachine machine(5);
  const base::SlotId slot{base::ServiceId("barnstock"), 2};
  const base::TargetInstanceId first("i1");
  consensus::LogIndex index = 0;
  auto apply = [&](std::uint64_t term, CommandBody body) {
    const auto text = encodeCommand({term, std::move(body)});
    return parseOutcome(machine.apply(++index, text)).value().Code;
  };
  REQUIRE(apply(1, BeginTerm{}) == ResultCode::Ok);
  REQUIRE(apply(1, TargetUp{makeTarget("i1")}) == ResultCode::Ok);
  REQUIRE(apply(1, AssignSlots{{{slot, {}, first, 7}}}) == ResultCode::Ok);
  auto SlotNow = [&] { return machine.viewNow()->Slots.at(slot.Service)[2]; };
  REQUIRE(SlotNow().Token == base::Token{7, 3});

  SECTION("a repeated assignment has no effect") {
    REQUIRE(apply(1, AssignSlots{{{slot, {}, first, 7}}}) ==
            ResultCode::GrantStale);
    REQUIRE(SlotNow().Token == base::Token{7, 3});
  }
  SECTION("a deposed leader's command has no effect") {
    REQUIRE(apply(2, BeginTerm{}) == ResultCode::Ok);
    REQUIRE(apply(1, BeginRelease{{{slot, {7, 3}}}}) == ResultCode::GrantStale);
    REQUIRE(apply(1, BeginTerm{}) == ResultCode::GrantStale);
    REQUIRE_FALSE(SlotNow().Releasing);
  }
  SECTION("a new dispatcher increases the tokens of the target and its slots") {
    REQUIRE(apply(1, SetDispatcher{first, {}, base::VmId("vm1"), 1}) ==
            ResultCode::Ok);
    REQUIRE(SlotNow().Token == base::Token{7, 4});
    REQUIRE(machine.viewNow()->Targets.at(first).DispatchToken ==
            base::Token{5, 4});
    REQUIRE(apply(1, SetDispatcher{first, {}, base::VmId("vm2"), 1}) ==
            ResultCode::GrantStale);
  }
  SECTION("a restart marks the earlier run as lost and keeps its slots") {
    REQUIRE(apply(1, TargetUp{makeTarget("i2")}) == ResultCode::Ok);
    REQUIRE(machine.viewNow()->Targets.at(first).State == TargetState::Lost);
    REQUIRE(SlotNow().Owner == first);
    REQUIRE(apply(1, TargetGone{first, {}}) == ResultCode::GrantStale);
  }
  SECTION("a snapshot is complete; a damaged one changes nothing") {
    StateMachine other(5);
    REQUIRE(other.restore(machine.snapshot()).has_value());
    REQUIRE(other.snapshot() == machine.snapshot());
    REQUIRE(other.restore("{").error().Code == ResultCode::SnapshotDamaged);
    REQUIRE(other.snapshot() == machine.snapshot());
  }
  SECTION("an unreadable command is refused") {
    REQUIRE(parseOutcome(machine.apply(9, "{}")).value().Code ==
            ResultCode::BadRequest);
  }
}

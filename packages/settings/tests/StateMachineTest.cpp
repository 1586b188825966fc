// Tests of the state machine: versions, change ids, audit trail, snapshots.
#include "TestSettings.h"

#include "base/HttpStatus.h"
#include "base/ResultCode.h"
#include "settings/Access.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::settings;
using namespace magnoliamill::settings::tests;
using base::ResultCode;

TEST_CASE("A service is set, changed and deleted", "[settings]") {
  TestStateMachine machine;
  machine.bootstrap();
  auto first = machine.set(Barnstock, keyedService(), 0, "a");
  REQUIRE(first.accepted());
  REQUIRE(first.Version == first.Index);

  SECTION("and is in the view at once") {
    auto view = machine.Settings.viewNow();
    REQUIRE(view->Index == first.Index);
    REQUIRE(view->Services.at(base::ServiceId("barnstock")).Slots == 6);
    SECTION("which stays the same object until something changes") {
      machine.Settings.skip(++machine.Index);
      REQUIRE(machine.Settings.viewNow() == view);
      REQUIRE(machine.Settings.appliedIndex() == machine.Index);
    }
  }
  SECTION("only once for the same expected version") {
    auto one = machine.set(Barnstock, keyedService(), first.Version, "b");
    auto two = machine.set(Barnstock, keyedService(), first.Version, "c");
    REQUIRE(one.accepted());
    REQUIRE(two.Code == ResultCode::VersionConflict);
    REQUIRE(two.Version == one.Version);
    REQUIRE(base::httpStatusOf(two.Code) == 409);
  }
  SECTION("but its number of slots cannot change") {
    auto other = machine.set(Barnstock, keyedService(7), first.Version, "b");
    REQUIRE(other.Code == ResultCode::ValueInvalid);
    REQUIRE(other.Faults.at(0).Path == "/slots");
  }
  SECTION("and other teams cannot use its name") {
    auto other =
        machine.set("/teams/brazos/services/barnstock", keyedService(), 0, "b");
    REQUIRE(other.Code == ResultCode::ValueInvalid);
  }
  SECTION("and a delete requires the version") {
    REQUIRE(machine.run(DeleteValue{origin("d"), Barnstock, 0}).Code ==
            ResultCode::BadRequest);
    REQUIRE(machine.run(DeleteValue{origin("e"), Barnstock, first.Version})
                .accepted());
    REQUIRE(machine.Settings.get(Barnstock).error().Code ==
            ResultCode::PathUnknown);
    REQUIRE(machine.Settings.viewNow()->Services.empty());
    SECTION("and versions are never reused") {
      auto again = machine.set(Barnstock, keyedService(), 0, "f");
      REQUIRE(again.Version > first.Version);
    }
  }
  SECTION("but not in a data centre without VMs") {
    auto other =
        machine.set("/teams/salzhof/services/haulroute",
                    R"({"keyed":false,"data_centres":["zug"]})", 0, "b");
    REQUIRE(other.Faults.at(0).Path == "/data_centres/0");
  }
  SECTION("and an index that was already applied changes nothing") {
    auto before = machine.Settings.snapshot();
    auto text = machine.Settings.apply(
        first.Index, encodeCommand(SetValue{origin("z"), Barnstock, "1", 0}));
    REQUIRE(decodeOutcome(text).value().Code == ResultCode::ProposalDropped);
    REQUIRE(machine.Settings.snapshot() == before);
  }
}

TEST_CASE("A target's rule", "[settings]") {
  TestStateMachine machine;
  machine.bootstrap();
  const std::string Path = "/teams/salzhof/targets/barnstock/barn-3";
  SECTION("requires its service") {
    REQUIRE(machine.set(Path, R"({"state":"leaving"})", 0, "t").Code ==
            ResultCode::ValueInvalid);
  }
  SECTION("applies only while its service exists") {
    auto service = machine.set(Barnstock, keyedService(), 0, "a");
    machine.set(Path,
                R"({"state":"leaving","leave_by":"2026-12-31T18:00:00Z"})", 0,
                "t");
    auto rules = machine.Settings.viewNow()->TargetRules;
    REQUIRE(rules.at(base::ServiceId("barnstock")).at("barn-3").LeaveByMs ==
            1798740000000);
    machine.run(DeleteValue{origin("d"), Barnstock, service.Version});
    REQUIRE(machine.Settings.viewNow()->TargetRules.empty());
    machine.set(Barnstock, keyedService(), 0, "b");
    REQUIRE(machine.Settings.viewNow()->TargetRules == rules);
  }
  SECTION("does not apply to a service of another team, also after restore") {
    auto service = machine.set(Barnstock, keyedService(), 0, "a");
    machine.set(Path, R"({"state":"leaving"})", 0, "t");
    machine.run(DeleteValue{origin("d"), Barnstock, service.Version});
    machine.set("/teams/brazos/services/barnstock", keyedService(), 0, "b");
    REQUIRE(machine.Settings.viewNow()->TargetRules.empty());
    TestStateMachine other;
    REQUIRE(other.Settings.restore(machine.Settings.snapshot()).has_value());
    REQUIRE(*other.Settings.viewNow() == *machine.Settings.viewNow());
  }
}

TEST_CASE("A resent change", "[settings]") {
  TestStateMachine machine;
  machine.bootstrap();
  auto first = machine.set(Barnstock, keyedService(), 0, "a");
  SECTION("gets the outcome of the first attempt") {
    REQUIRE(machine.set(Barnstock, keyedService(), 0, "a") == first);
    REQUIRE(machine.Settings.get(Barnstock).value().Version == first.Version);
    SECTION("also a conflict that would no longer occur") {
      auto conflict = machine.set(Barnstock, keyedService(), 0, "b");
      machine.run(DeleteValue{origin("d"), Barnstock, first.Version});
      REQUIRE(machine.set(Barnstock, keyedService(), 0, "b") == conflict);
    }
    SECTION("also after restoring a snapshot") {
      TestStateMachine other;
      REQUIRE(other.Settings.restore(machine.Settings.snapshot()).has_value());
      other.Index = machine.Index;
      REQUIRE(other.set(Barnstock, keyedService(), 0, "a") == first);
    }
  }
  SECTION("is refused when its id belongs to another change") {
    REQUIRE(machine.set(Barnstock, keyedService(9), 0, "a").Code ==
            ResultCode::ChangeIdReused);
  }
  SECTION("is independent of the ids of other teams") {
    auto other = machine.run(SetValue{origin("a", "team/brazos"), Barnstock,
                                      keyedService(), first.Version});
    REQUIRE(other.accepted());
  }
}

TEST_CASE("Change ids beyond the window", "[settings]") {
  StateLimits limits;
  limits.ChangeIdWindow = 10;
  TestStateMachine machine{StateMachine(limits)};
  machine.bootstrap();
  auto id = fmt::format("{}~first", machine.Index);
  auto first = machine.set(Barnstock, keyedService(), 0, id);
  machine.run(DeleteValue{origin("d"), Barnstock, first.Version});
  auto skip = [&](consensus::LogIndex index) {
    while (machine.Index < index)
      machine.Settings.skip(++machine.Index);
  };
  SECTION("are remembered up to its end") {
    skip(first.Index + 9);
    REQUIRE(machine.set(Barnstock, keyedService(), 0, id) == first);
  }
  SECTION("are always refused after it") {
    skip(first.Index + 10);
    REQUIRE(machine.set(Barnstock, keyedService(), 0, id).Code ==
            ResultCode::ChangeIdExpired);
    REQUIRE(machine.Settings.viewNow()->Services.empty());
  }
  SECTION("are refused when they contain a future index") {
    REQUIRE(machine.set(Barnstock, keyedService(), 0, "999~x").Code ==
            ResultCode::BadRequest);
  }
}

TEST_CASE("The audit trail", "[settings]") {
  TestStateMachine machine;
  machine.bootstrap();
  auto hash = hashToken("secret");
  machine.run(SetValue{origin("t", "admin"), "/admin/teams/salzhof",
                       fmt::format(R"({{"token_sha256":"{}"}})", hash), 0});
  auto first = machine.set(Barnstock, keyedService(), 0, "a");
  machine.set(Barnstock, keyedService(), 0, "b");

  SECTION("contains accepted and rejected changes in order") {
    auto entries = machine.Settings.audit({"/teams/salzhof", 0, 100});
    REQUIRE(entries.size() == 2);
    REQUIRE(entries[0].Index == first.Index);
    REQUIRE(entries[0].Who == "team/salzhof");
    REQUIRE(entries[0].OldValue.empty());
    REQUIRE(entries[1].Code == ResultCode::VersionConflict);
    REQUIRE(entries[1].ChangeId == "b");
  }
  SECTION("does not contain resends") {
    machine.set(Barnstock, keyedService(), 0, "a");
    REQUIRE(machine.Settings.audit({Barnstock, 0, 100}).size() == 2);
  }
  SECTION("and reads of values never show a token's hash") {
    for (const auto &entry : machine.Settings.audit({}))
      REQUIRE(renderAuditEntry(entry).find(hash) == std::string::npos);
    REQUIRE(
        machine.Settings.get("/admin/teams/salzhof").value().Value.find(hash) ==
        std::string::npos);
    REQUIRE(machine.Settings.viewNow()->Teams.at("salzhof").TokenSha256 ==
            hash);
  }
  SECTION("is bounded and reports what was dropped") {
    StateLimits limits;
    limits.AuditEntries = 2;
    TestStateMachine small{StateMachine(limits)};
    for (int i = 0; i < 5; ++i)
      small.set(Barnstock, keyedService(), 0, std::to_string(i));
    REQUIRE(small.Settings.audit({}).size() == 2);
    REQUIRE(small.Settings.auditDroppedUpTo() == 3);
  }
}

TEST_CASE("A damaged or older snapshot is refused and changes nothing",
          "[settings]") {
  TestStateMachine machine;
  machine.bootstrap();
  auto old = machine.Settings.snapshot();
  machine.set(Barnstock, keyedService(), 0, "a");
  auto now = machine.Settings.snapshot();
  REQUIRE(machine.Settings.restore(old).error().Code ==
          ResultCode::ProposalDropped);
  REQUIRE(
      machine.Settings.restore(now.substr(0, now.size() / 2)).error().Code ==
      ResultCode::SnapshotDamaged);
  REQUIRE(machine.Settings.restore("{}").error().Code ==
          ResultCode::SnapshotDamaged);
  REQUIRE(machine.Settings.snapshot() == now);
}

namespace {

/// Draws a change from few paths, values, versions and ids, so that conflicts,
/// resends and reuses of ids are frequent.
SetValue drawSet() {
  const auto service = *rc::gen::inRange(0, 3);
  const auto version =
      *rc::gen::arbitrary<bool>() ? 0 : *rc::gen::inRange(1, 20);
  const auto id = *rc::gen::inRange(0, 25);
  const auto deadline = *rc::gen::inRange(0, 3);
  return {
      origin(fmt::format("id{}", id),
             *rc::gen::element<std::string>("team/salzhof", "admin")),
      fmt::format("/teams/{}/services/s{}",
                  *rc::gen::element("salzhof", "salzhof", "brazos"), service),
      fmt::format(R"({{"keyed":true,"slots":4,"data_centres":["basel","chur"],)"
                  R"("default_deadline_ms":{}}})",
                  deadline),
      static_cast<std::uint64_t>(version)};
}

/// Draws a target rule. Two teams compete for the services s0 and s1.
SetValue drawTargetRule() {
  auto set = drawSet();
  auto team = *rc::gen::element("salzhof", "brazos");
  set.Path = fmt::format("/teams/{}/targets/s{}/t{}", team,
                         *rc::gen::inRange(0, 2), *rc::gen::inRange(0, 2));
  set.Value =
      *rc::gen::element(R"({"state":"leaving"})", R"({"state":"active"})");
  return set;
}

Command drawCommand() {
  switch (*rc::gen::inRange(0, 9)) {
  case 0: {
    auto set = *rc::gen::arbitrary<bool>() ? drawSet() : drawTargetRule();
    return DeleteValue{set.Origin, set.Path, set.ExpectedVersion};
  }
  case 3:
  case 4:
    return drawTargetRule();
  case 5: {
    auto port = static_cast<std::uint16_t>(*rc::gen::inRange(1, 3) * 100);
    return BootstrapVms{0, {vm("b1", "basel", port), vm("c1", "chur", 500)}};
  }
  case 1:
    return AssignHomes{
        0, base::ServiceId("s0"),
        std::vector<base::DataCentreId>(4, base::DataCentreId("basel"))};
  case 2:
    return BeginHomeMove{0,
                         {base::ServiceId("s0"), 1},
                         static_cast<std::uint64_t>(*rc::gen::inRange(0, 12)),
                         base::DataCentreId("chur")};
  default:
    return drawSet();
  }
}

std::vector<std::string> drawLog() {
  std::vector<std::string> log;
  auto n = *rc::gen::inRange(0, 40);
  log.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i)
    log.push_back(encodeCommand(drawCommand()));
  return log;
}

} // namespace

TEST_CASE("Equal logs give equal states", "[settings]") {
  REQUIRE(rc::check("whichever snapshots were taken between", [] {
    auto log = drawLog();
    auto cut = static_cast<std::size_t>(*rc::gen::inRange(0, 41));
    StateMachine one;
    StateMachine two;
    for (std::size_t i = 0; i < log.size(); ++i) {
      if (i == cut) {
        StateMachine restored;
        RC_ASSERT(restored.restore(two.snapshot()).has_value());
        RC_ASSERT(*restored.viewNow() == *two.viewNow());
        two = std::move(restored);
      }
      // Both yield the same outcome, also for resends after the restore.
      RC_ASSERT(one.apply(i + 1, log[i]) == two.apply(i + 1, log[i]));
    }
    RC_ASSERT(one.snapshot() == two.snapshot());
    RC_ASSERT(*one.viewNow() == *two.viewNow());
  }));
}

TEST_CASE("Concurrent changes with the same expected version", "[settings]") {
  REQUIRE(rc::check("exactly one wins each round, resends change nothing", [] {
    TestStateMachine machine;
    machine.bootstrap();
    std::uint64_t version = 0;
    auto rounds = *rc::gen::inRange(1, 10);
    for (int round = 0; round < rounds; ++round) {
      std::vector<SetValue> sends;
      for (const char *who : {"team/salzhof", "admin"})
        for (int copy = *rc::gen::inRange(1, 4); copy > 0; --copy)
          sends.push_back({origin(fmt::format("r{}", round), who), Barnstock,
                           keyedService(), version});
      auto order = *rc::gen::container<std::vector<unsigned>>(
          sends.size(), rc::gen::arbitrary<unsigned>());
      std::map<std::string, ChangeOutcome> first;
      std::multimap<unsigned, SetValue> shuffled;
      for (std::size_t i = 0; i < sends.size(); ++i)
        shuffled.emplace(order[i], sends[i]);
      for (const auto &[place, set] : shuffled) {
        auto outcome = machine.run(set);
        RC_ASSERT(first.emplace(set.Origin.Who, outcome).first->second ==
                  outcome);
      }
      RC_ASSERT(std::ranges::count_if(first, [](const auto &entry) {
                  return entry.second.accepted();
                }) == 1);
      version = machine.Settings.get(Barnstock).value().Version;
    }
  }));
}

// Tests of the validation of values, paths and the daemon's settings file, of
// the JSON encoding of commands, and of access control.
#include "TestSettings.h"

#include "settings/Access.h"
#include "settings/NodeSettings.h"
#include "settings/Schema.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace magnoliamill;
using namespace magnoliamill::settings;
using base::ResultCode;

namespace {

const SettingsPath ServicePath{PathKind::Service, "brazos", "press-orders", ""};

std::map<std::string, ResultCode> faultsOf(const std::vector<Fault> &faults) {
  std::map<std::string, ResultCode> found;
  for (const auto &fault : faults)
    found.emplace(fault.Path, fault.Code);
  return found;
}

constexpr const char *GoodNode = R"({
  "vm": "b1", "data_centre": "basel",
  "peer_listen": {"host": "127.0.0.1", "port": 7001},
  "http_listen": {"host": "0.0.0.0", "port": 8001},
  "seeds": [
    {"vm": "b1", "data_centre": "basel", "host": "127.0.0.1",
     "peer_port": 7001, "http_port": 8001, "disk": true},
    {"vm": "c1", "data_centre": "chur", "host": "127.0.0.1",
     "peer_port": 7002, "http_port": 8002}],
  "data_folder": "/var/lib/mill", "settings_replica": true,
  "data_centre_replica": true,
  "allowed_target_hosts": ["127.0.0.0/8", "fd00::1"],
  "limits": {"max_connections": 100}, "log_level": "debug"})";

} // namespace

TEST_CASE("Paths", "[settings]") {
  SECTION("round-trip through text") {
    for (const char *text :
         {"/admin/teams/brazos", "/admin/vms/b1", "/admin/data_centres/basel",
          "/teams/brazos/services/press-orders",
          "/teams/brazos/targets/press-orders/press-1"})
      REQUIRE(parsePath(text).value().text() == text);
  }
  SECTION("are refused when malformed") {
    for (const char *text : {"", "/", "/teams", "/teams/a/services/", "teams/a",
                             "/teams/a/services/b/", "/teams/../services/b",
                             "/teams/a/targets/s", "/admin/other/x"})
      REQUIRE(parsePath(text).error().Code == ResultCode::PathInvalid);
  }
  SECTION("are matched by whole names") {
    REQUIRE(isAtOrBelow("/teams/a/services/b", "/teams/a"));
    REQUIRE(isAtOrBelow("/teams/a", "/teams/a/"));
    REQUIRE_FALSE(isAtOrBelow("/teams/ab", "/teams/a"));
  }
}

TEST_CASE("A service's value", "[settings]") {
  SECTION("is read with all its fields") {
    auto checked = checkValue(ServicePath, R"({
      "keyed": true, "slots": 64, "data_centres": ["d1", "d2"],
      "client_account_weights": {"acme": 3}, "only_listed_client_accounts": true,
      "default_deadline_ms": 500, "queue_limit_per_target": 9,
      "routes": [{"prefix": "/release", "class": "urgent",
                  "idempotent": false}],
      "weights": {"imbalance": 2.5}, "target_hosts": ["127.0.0.0/8"],
      "retry_budget_percent": 20})");
    REQUIRE(checked.Faults.empty());
    auto service = std::get<ServiceView>(*checked.Value);
    REQUIRE(service.Team == "brazos");
    REQUIRE(service.ClientAccountWeights.at(base::ClientAccountId("acme")) ==
            3);
    REQUIRE(service.DefaultDeadline == std::chrono::milliseconds(500));
    REQUIRE(service.Routes.at(0).Class == Urgency::Urgent);
    REQUIRE(service.Weights.Imbalance == 2.5);
    REQUIRE(service.RetryBudgetPercent == 20);
  }
  SECTION("is refused with all its faults") {
    auto checked = checkValue(ServicePath, R"({
      "keyed": true, "slots": 0, "data_centres": ["d1", "d1", 4],
      "client_account_weights": {"acme": 0}, "default_deadline_ms": "5",
      "routes": [{"prefix": "release", "clas": "urgent"}],
      "weights": {"churn": -1}, "target_hosts": ["all"], "x/y": 1})");
    REQUIRE_FALSE(checked.Value);
    REQUIRE(faultsOf(checked.Faults) ==
            std::map<std::string, ResultCode>{
                {"/slots", ResultCode::OutOfRange},
                {"/data_centres", ResultCode::OutOfRange},
                {"/data_centres/2", ResultCode::WrongType},
                {"/client_account_weights/acme", ResultCode::OutOfRange},
                {"/default_deadline_ms", ResultCode::WrongType},
                {"/routes/0/prefix", ResultCode::OutOfRange},
                {"/routes/0/clas", ResultCode::UnknownField},
                {"/weights/churn", ResultCode::OutOfRange},
                {"/target_hosts", ResultCode::OutOfRange},
                {"/x~1y", ResultCode::UnknownField}});
  }
  SECTION("is bounded in size and depth") {
    std::string large(MaxValueBytes, ' ');
    REQUIRE(checkValue(ServicePath, large + "{}").Faults.at(0).Code ==
            ResultCode::ValueTooLarge);
    REQUIRE(checkValue(ServicePath, std::string(1000, '[')).Faults.at(0).Code ==
            ResultCode::JsonMalformed);
  }
  SECTION("yields a value or faults for any text") {
    REQUIRE(rc::check("a value or faults", [](const std::string &text) {
      auto checked = checkValue(ServicePath, text);
      RC_ASSERT(checked.Value.has_value() == checked.Faults.empty());
    }));
  }
}

TEST_CASE("Times are parsed with their offset", "[settings]") {
  REQUIRE(parseIsoTime("1970-01-01T00:00:01Z") == 1000);
  REQUIRE(parseIsoTime("2026-12-31T18:00:00.5+01:00") == 1798736400000);
  for (const char *text : {"2026-02-30T00:00:00Z", "2026-01-01T00:00:00",
                           "2026-01-01 00:00:00Z", "2026-01-01T25:00:00Z",
                           "2026-01-01T00:00:00Zx", "2026-01-01T00:00:00.Z"})
    REQUIRE_FALSE(parseIsoTime(text));
}

TEST_CASE("Commands round-trip through JSON", "[settings]") {
  base::SlotId slot{base::ServiceId("s"), 3};
  base::DataCentreId centre("basel");
  std::vector<Command> all{
      SetValue{{"i", "admin", 5}, "/p", "{\"a\":1}", 7},
      DeleteValue{{"i", "admin", 5}, "/p", 7},
      BootstrapVms{5, {settings::tests::vm("b1", "basel", 9)}},
      RegisterVm{5, settings::tests::vm("b1", "basel", 9)},
      RemoveVm{5, base::VmId("b1")},
      AssignHomes{5, base::ServiceId("s"), {centre, centre}},
      BeginHomeMove{5, slot, 4, centre},
      CancelHomeMove{5, slot, 4},
      FinishHomeMove{5, slot, 4, centre},
      ReclaimHome{5, slot, 4, centre},
      StartDataCentreGroup{5, centre, {{base::VmId("b1"), 2}}, 4}};
  REQUIRE(all.size() == std::variant_size_v<Command>);
  for (const auto &command : all) {
    auto text = encodeCommand(command);
    auto decoded = decodeCommand(text);
    INFO(text);
    REQUIRE(decoded.has_value());
    REQUIRE(decoded.value().index() == command.index());
    REQUIRE(encodeCommand(decoded.value()) == text);
  }
  REQUIRE_FALSE(decodeCommand(R"({"type":"set"})").has_value());
  REQUIRE_FALSE(decodeCommand(R"({"type":"sett"})").has_value());
}

TEST_CASE("Access", "[settings]") {
  View view;
  view.Teams["brazos"] = {"brazos", hashToken("press")};
  auto admin = hashToken("root");
  SECTION("finds the holder of a token") {
    REQUIRE(authenticate("root", admin, view)->Admin);
    REQUIRE(authenticate("press", admin, view)->Team == "brazos");
    REQUIRE_FALSE(authenticate("other", admin, view));
    REQUIRE_FALSE(authenticate("", admin, view));
    REQUIRE_FALSE(authenticate("root", "", view));
  }
  SECTION("does not accept a hash as a token") {
    REQUIRE_FALSE(authenticate(admin, admin, view));
  }
  SECTION("is limited to a team's own subtree") {
    Principal team{false, "brazos"};
    REQUIRE(mayAccess(team, "/teams/brazos/services/x"));
    REQUIRE_FALSE(mayAccess(team, "/teams/brazos2/services/x"));
    REQUIRE_FALSE(mayAccess(team, "/teams"));
    REQUIRE_FALSE(mayAccess(team, "/admin/teams/brazos"));
    REQUIRE_FALSE(mayAccess(Principal{}, "/teams/"));
    REQUIRE(mayAccess(Principal{true, ""}, "/admin/vms/x"));
  }
  SECTION("hashes tokens with standard SHA-256") {
    REQUIRE(hashToken("abc") ==
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  }
}

TEST_CASE("The daemon's settings file", "[settings]") {
  SECTION("is read with all its fields") {
    auto checked = checkNodeSettings(GoodNode);
    REQUIRE(checked.Faults.empty());
    REQUIRE(checked.Settings->Seeds.size() == 2);
    REQUIRE(checked.Settings->Limits.MaxConnections == 100);
    REQUIRE(checked.Settings->LogLevel == base::LogLevel::Debug);
  }
  SECTION("is refused with all its faults") {
    auto checked = checkNodeSettings(R"({
      "vm": "b 1", "peer_listen": {"host": "localhost", "port": 0},
      "http_listen": {"host": "127.0.0.1", "port": 8001, "tls": true},
      "seeds": [
        {"vm": "b1", "data_centre": "basel", "host": "127.0.0.1",
         "peer_port": 7001, "http_port": 8001},
        {"vm": "b1", "data_centre": "chur", "host": "127.0.0.1",
         "peer_port": 7001, "http_port": 8002}],
      "settings_replica": true, "log_level": "loud"})");
    REQUIRE_FALSE(checked.Settings);
    REQUIRE(faultsOf(checked.Faults) ==
            std::map<std::string, ResultCode>{
                {"/vm", ResultCode::OutOfRange},
                {"/data_centre", ResultCode::MissingField},
                {"/peer_listen/host", ResultCode::OutOfRange},
                {"/peer_listen/port", ResultCode::OutOfRange},
                {"/http_listen/tls", ResultCode::UnknownField},
                {"/seeds/1/vm", ResultCode::DuplicateAddress},
                {"/seeds/1", ResultCode::DuplicateAddress},
                {"/seeds", ResultCode::OutOfRange},
                {"/settings_replica", ResultCode::OutOfRange},
                {"/log_level", ResultCode::OutOfRange}});
  }
  SECTION("must match the VM's own seed") {
    std::string text(GoodNode);
    text.replace(text.find(R"("port": 7001)"), 12, R"("port": 7009)");
    REQUIRE(faultsOf(checkNodeSettings(text).Faults) ==
            std::map<std::string, ResultCode>{
                {"/seeds/0/peer_port", ResultCode::OutOfRange}});
  }
}

TEST_CASE("Hosts are matched by prefix", "[settings]") {
  std::vector<std::string> prefixes{"10.1.0.0/15", "192.168.7.9", "fd00::/8"};
  REQUIRE(isHostAllowed("10.0.255.1", prefixes));
  REQUIRE_FALSE(isHostAllowed("10.2.0.1", prefixes));
  REQUIRE(isHostAllowed("192.168.7.9", prefixes));
  REQUIRE_FALSE(isHostAllowed("192.168.7.8", prefixes));
  REQUIRE(isHostAllowed("fd12::1", prefixes));
  REQUIRE_FALSE(isHostAllowed("localhost", prefixes));
}

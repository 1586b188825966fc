// Tests the check of the settings file of a VM in a fleet.
#include "fleet/FleetSettings.h"

#include <catch2/catch.hpp>

using namespace magnoliamill;
using namespace magnoliamill::fleet;

namespace {

const std::string Entry = R"({"vm":"e1","data_centre":"dc-a","duty":"entry",
  "host":"10.0.0.1","link_port":7000,"seeds":["10.0.0.2:8000"],
  "client_listen":"10.0.0.1:80","readiness_listen":"10.0.0.1:81",
  "heartbeat_interval_ms":870})";

std::string replaced(std::string text, const std::string &from,
                     const std::string &to) {
  return text.replace(text.find(from), from.size(), to);
}

base::ResultCode firstFault(const std::string &text) {
  const auto checked = checkFleetSettings(text);
  REQUIRE_FALSE(checked.Settings);
  return checked.Faults.front().Code;
}

} // namespace

TEST_CASE("The settings file of an entry is read") {
  const auto checked = checkFleetSettings(Entry);
  REQUIRE(checked.Settings);
  CHECK(isFleetSettings(Entry));
  CHECK(checked.Settings->VmDuty == Duty::Entry);
  CHECK(checked.Settings->Seeds.front().Port == 8000);
  CHECK(checked.Settings->HeartbeatInterval == std::chrono::milliseconds(870));
  CHECK_FALSE(isFleetSettings(R"({"vm":"a"})"));
}

TEST_CASE("The grace period of a stop is read in seconds") {
  const auto WithGrace = [](const std::string &seconds) {
    return replaced(Entry, "\"duty\"",
                    "\"stop_grace_s\":" + seconds + ",\"duty\"");
  };
  CHECK(checkFleetSettings(WithGrace("10")).Settings->StopGrace ==
        std::chrono::seconds(10));
  CHECK(checkFleetSettings(WithGrace("2.5")).Settings->StopGrace ==
        std::chrono::milliseconds(2500));
  CHECK(firstFault(WithGrace("0")) == base::ResultCode::OutOfRange);
  CHECK(firstFault(WithGrace("\"10\"")) == base::ResultCode::WrongType);
}

TEST_CASE("The drain time of targets is read in milliseconds") {
  const auto WithDrain = [](const std::string &ms) {
    return replaced(Entry, "\"duty\"",
                    "\"target_drain_ms\":" + ms + ",\"duty\"");
  };
  CHECK(checkFleetSettings(WithDrain("1500")).Settings->TargetDrainTime ==
        std::chrono::milliseconds(1500));
  CHECK(firstFault(WithDrain("0")) == base::ResultCode::OutOfRange);
  CHECK(firstFault(WithDrain("\"1500\"")) == base::ResultCode::WrongType);
}

TEST_CASE("Faults in the settings file are reported with result codes") {
  CHECK(firstFault("{") == base::ResultCode::JsonMalformed);
  CHECK(firstFault(replaced(Entry, "\"host\"", "\"vm\"")) ==
        base::ResultCode::DuplicateField);
  CHECK(firstFault(replaced(Entry, "entry", "both")) ==
        base::ResultCode::OutOfRange);
  CHECK(firstFault(replaced(Entry, "10.0.0.1:80", "10.0.0.1")) ==
        base::ResultCode::OutOfRange);
  CHECK(firstFault(replaced(Entry, "7000", "70000")) ==
        base::ResultCode::OutOfRange);
  CHECK(firstFault(replaced(Entry, "\"link_port\":7000,", "")) ==
        base::ResultCode::MissingField);
  CHECK(firstFault(replaced(Entry, "\"link_port\"", "\"port\"")) ==
        base::ResultCode::MissingField);
}

// Reads and checks the settings file of a VM in a fleet.
#include "fleet/FleetSettings.h"

#include "settings/internal/JsonReader.h"
#include "settings/internal/VmFields.h"

#include <boost/json/object.hpp>

namespace magnoliamill::fleet {
namespace {

using base::ResultCode;
using settings::ListenAddress;
using settings::internal::Faults;
using settings::internal::ObjectReader;
using settings::internal::Presence;

constexpr std::size_t MaxFileDepth = 8;
constexpr std::size_t MaxSeeds = 64;
constexpr std::size_t MaxDataCentres = 1024;
constexpr std::int64_t MaxDurationMs = 3'600'000;
constexpr std::int64_t MaxLossTolerance = 8;
constexpr double MinStopGraceS = 0.5;
constexpr double MaxStopGraceS = 3600;
constexpr double MaxLinkMbps = 1e6;
constexpr double MaxWarmUpOverrun = 100;
constexpr double MaxWarmUpSlack = 1e6;
constexpr std::int64_t MinMemoryMb = 16;
constexpr std::int64_t MaxMemoryMb = 1 << 20;
constexpr std::size_t BytesPerMegabyte = 1'000'000;

ListenAddress readAddress(ObjectReader &reader, std::string_view field) {
  const auto text = reader.readString(field, Presence::Required);
  if (!text)
    return {};
  auto address = base::parseHostPort(*text);
  if (!address)
    reader.report(field, ResultCode::OutOfRange, "must be HOST:PORT");
  return address.value_or(ListenAddress{});
}

void readDuration(ObjectReader &reader, std::string_view field,
                  base::Duration &value) {
  if (auto ms =
          reader.readInteger(field, Presence::Optional, {1, MaxDurationMs}))
    value = std::chrono::milliseconds(*ms);
}

void readDuty(ObjectReader &reader, FleetSettings &fleet) {
  const auto duty = reader.readString("duty", Presence::Required).value_or("");
  if (duty != "entry" && duty != "core")
    reader.report("duty", ResultCode::OutOfRange, "must be entry or core");
  fleet.VmDuty = duty == "core" ? Duty::Core : Duty::Entry;
  if (fleet.VmDuty == Duty::Entry) {
    fleet.ClientListen = readAddress(reader, "client_listen");
    fleet.ReadinessListen = readAddress(reader, "readiness_listen");
    return;
  }
  fleet.ControlListen = readAddress(reader, "control_listen");
  const auto body =
      reader.readString("control_body", Presence::Optional).value_or("json");
  if (body != "json" && body != "cbor")
    reader.report("control_body", ResultCode::OutOfRange,
                  "must be json or cbor");
  fleet.Body =
      body == "cbor" ? ControlBodyFormat::Cbor : ControlBodyFormat::Json;
  fleet.DataFolder =
      reader.readString("data_folder", Presence::Required).value_or("");
  if (auto n = reader.readInteger("loss_tolerance", Presence::Optional,
                                  {0, MaxLossTolerance}))
    fleet.LossTolerance = static_cast<std::uint32_t>(*n);
  fleet.DataCentres =
      reader.readStrings("data_centres", Presence::Optional, MaxDataCentres);
  fleet.BalancesByLoad =
      reader.readBool("balance_by_load", Presence::Optional).value_or(false);
  fleet.IsFirstStart =
      reader.readBool("found", Presence::Optional).value_or(false);
}

void readSeeds(ObjectReader &reader, FleetSettings &fleet) {
  for (const auto &text :
       reader.readStrings("seeds", Presence::Required, MaxSeeds)) {
    if (auto address = base::parseHostPort(text))
      fleet.Seeds.push_back(std::move(*address));
    else
      reader.report("seeds", ResultCode::OutOfRange,
                    "'" + text + "' must be HOST:PORT");
  }
}

void readLogLevel(ObjectReader &reader, FleetSettings &fleet) {
  const auto name = reader.readString("log_level", Presence::Optional);
  if (!name)
    return;
  if (auto level = base::parseLogLevel(*name))
    fleet.LogLevel = *level;
  else
    reader.report("log_level", ResultCode::OutOfRange,
                  "must be debug, info, warning or error");
}

} // namespace

bool isFleetSettings(std::string_view text) {
  Faults ignored;
  const auto value = settings::internal::parseJson(text, MaxFileDepth, ignored);
  return value && value->is_object() && value->get_object().contains("duty");
}

CheckedFleetSettings checkFleetSettings(std::string_view text) {
  CheckedFleetSettings checked;
  auto value =
      settings::internal::parseJson(text, MaxFileDepth, checked.Faults);
  if (!value)
    return checked;
  FleetSettings fleet;
  ObjectReader reader(*value, "", checked.Faults);
  fleet.Vm = reader.readString("vm", Presence::Required).value_or("");
  fleet.DataCentre =
      reader.readString("data_centre", Presence::Required).value_or("");
  fleet.Host = settings::internal::readIp(reader, "host").value_or("");
  fleet.LinkPort = static_cast<std::uint16_t>(
      reader
          .readInteger("link_port", Presence::Required,
                       settings::internal::PortRange)
          .value_or(0));
  readDuty(reader, fleet);
  readSeeds(reader, fleet);
  fleet.MetricsPort = static_cast<std::uint16_t>(
      reader.readInteger("metrics_port", Presence::Optional, {0, 65535})
          .value_or(0));
  readDuration(reader, "heartbeat_interval_ms", fleet.HeartbeatInterval);
  readDuration(reader, "hold_ms", fleet.HoldTime);
  readDuration(reader, "target_drain_ms", fleet.TargetDrainTime);
  if (auto seconds =
          reader.readNumber("stop_grace_s", MinStopGraceS, MaxStopGraceS))
    fleet.StopGrace = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(*seconds));
  fleet.WarmUpOverrun =
      reader.readNumber("warm_up_overrun", 1, MaxWarmUpOverrun).value_or(1);
  fleet.WarmUpSlack =
      reader.readNumber("warm_up_slack", 0, MaxWarmUpSlack).value_or(0);
  if (auto percent =
          reader.readInteger("retry_percent", Presence::Optional, {0, 100}))
    fleet.RetryPercent = static_cast<std::uint32_t>(*percent);
  fleet.LinkMbps = reader.readNumber("link_mbps", 0, MaxLinkMbps).value_or(0);
  if (auto megabytes = reader.readInteger("memory_mb", Presence::Optional,
                                          {MinMemoryMb, MaxMemoryMb}))
    fleet.MemoryBytes = static_cast<std::size_t>(*megabytes) * BytesPerMegabyte;
  readLogLevel(reader, fleet);
  reader.finish();
  if (checked.Faults.empty())
    checked.Settings = std::move(fleet);
  return checked;
}

} // namespace magnoliamill::fleet

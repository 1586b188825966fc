// Parses and checks the daemon's settings file.
#include "settings/NodeSettings.h"

#include "settings/internal/JsonReader.h"
#include "settings/internal/VmFields.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <map>

namespace magnoliamill::settings {
namespace {

using base::ResultCode;
using internal::Faults;
using internal::ObjectReader;
using internal::Presence;

constexpr std::size_t MaxFileDepth = 8;
constexpr std::size_t MaxSeeds = 10000;
constexpr std::int64_t MaxBytes = std::int64_t{1} << 30;

ListenAddress readListen(ObjectReader &reader, std::string_view field,
                         Faults &faults) {
  ListenAddress address;
  const auto *value = reader.readAny(field, Presence::Required);
  if (!value)
    return address;
  ObjectReader listen(*value, reader.pathOf(field), faults);
  address.Host = internal::readIp(listen, "host").value_or("");
  address.Port = static_cast<std::uint16_t>(
      listen.readInteger("port", Presence::Required, internal::PortRange)
          .value_or(0));
  listen.finish();
  return address;
}

void readSeeds(ObjectReader &reader, NodeSettings &node, Faults &faults) {
  const auto *items = reader.readArray("seeds", Presence::Required, MaxSeeds);
  for (std::size_t i = 0; items && i < items->size(); ++i) {
    ObjectReader seed((*items)[i], fmt::format("/seeds/{}", i), faults);
    VmView vm;
    vm.Id = base::VmId(seed.readName("vm", Presence::Required).value_or(""));
    internal::readVmFields(seed, vm);
    seed.finish();
    node.Seeds.push_back(std::move(vm));
  }
}

template <typename T>
void readLimit(ObjectReader &reader, std::string_view field,
               internal::IntegerRange range, T &limit) {
  if (auto value = reader.readInteger(field, Presence::Optional, range))
    limit = static_cast<T>(*value);
}

void readLimits(ObjectReader &reader, NodeLimits &limits, Faults &faults) {
  const auto *value = reader.readAny("limits", Presence::Optional);
  if (!value)
    return;
  ObjectReader fields(*value, "/limits", faults);
  readLimit(fields, "max_connections", {1, 1000000}, limits.MaxConnections);
  readLimit(fields, "max_header_bytes", {1024, 1 << 20}, limits.MaxHeaderBytes);
  readLimit(fields, "max_body_bytes", {0, MaxBytes}, limits.MaxBodyBytes);
  readLimit(fields, "max_queued_bytes", {1 << 20, MaxBytes},
            limits.MaxQueuedBytes);
  readLimit(fields, "ring_capacity", {64, 65534}, limits.RingCapacity);
  readLimit(fields, "max_deadline_ms", {1, 3600000}, limits.MaxDeadlineMs);
  readLimit(fields, "settings_changes_per_second", {1, 100000},
            limits.SettingsChangesPerSecond);
  fields.finish();
}

base::LogLevel readLogLevel(ObjectReader &reader) {
  auto name = reader.readString("log_level", Presence::Optional);
  if (!name)
    return base::LogLevel::Info;
  if (auto level = base::parseLogLevel(*name))
    return *level;
  reader.report("log_level", ResultCode::OutOfRange,
                "must be debug, info, warning or error");
  return base::LogLevel::Info;
}

void readDataFolder(ObjectReader &reader, NodeSettings &node) {
  node.DataFolder =
      reader.readString("data_folder", Presence::Optional).value_or("");
  if (reader.has("data_folder") && !node.DataFolder.starts_with('/'))
    reader.report("data_folder", ResultCode::OutOfRange,
                  "must be an absolute path");
  if (node.SettingsReplica && node.DataFolder.empty())
    reader.report("settings_replica", ResultCode::OutOfRange,
                  "needs a data_folder: the settings group keeps its log on "
                  "disk");
}

/// Reports duplicate names and addresses among the seeds.
void checkSeedsDiffer(const NodeSettings &node, Faults &faults) {
  std::map<base::VmId, std::size_t> names;
  std::map<std::pair<std::string, std::uint16_t>, std::size_t> addresses;
  for (std::size_t i = 0; i < node.Seeds.size(); ++i) {
    const auto &seed = node.Seeds[i];
    auto [known, fresh] = names.emplace(seed.Id, i);
    if (!fresh && !seed.Id.empty())
      faults.push_back(
          {ResultCode::DuplicateAddress, fmt::format("/seeds/{}/vm", i),
           fmt::format("is already used by /seeds/{}", known->second)});
    for (auto port : {seed.PeerPort, seed.HttpPort}) {
      auto [it, added] = addresses.emplace(std::pair(seed.Host, port), i);
      if (!added && it->second != i && port != 0 && !seed.Host.empty())
        faults.push_back({ResultCode::DuplicateAddress,
                          fmt::format("/seeds/{}", i),
                          fmt::format("{}:{} is already used by /seeds/{}",
                                      seed.Host, port, it->second)});
    }
  }
}

/// Reports where this VM's entry in the seeds contradicts the rest of the file.
void checkOwnSeed(const NodeSettings &node, Faults &faults) {
  for (std::size_t i = 0; i < node.Seeds.size(); ++i) {
    const auto &seed = node.Seeds[i];
    if (seed.Id != node.Vm)
      continue;
    auto report = [&](std::string_view field, std::string_view other) {
      faults.push_back({ResultCode::OutOfRange,
                        fmt::format("/seeds/{}/{}", i, field),
                        fmt::format("must agree with {}", other)});
    };
    if (seed.DataCentre != node.DataCentre)
      report("data_centre", "/data_centre");
    if (seed.PeerPort != node.PeerListen.Port)
      report("peer_port", "/peer_listen/port");
    if (seed.HttpPort != node.HttpListen.Port)
      report("http_port", "/http_listen/port");
    if (seed.HasDisk == node.DataFolder.empty())
      report("disk", "/data_folder");
    return;
  }
  faults.push_back({ResultCode::MissingField, "/seeds",
                    fmt::format("must include this VM, '{}'", node.Vm.Value)});
}

void checkTogether(const NodeSettings &node, Faults &faults) {
  if (node.PeerListen == node.HttpListen && node.PeerListen.Port != 0)
    faults.push_back({ResultCode::DuplicateAddress, "/http_listen",
                      "must differ from /peer_listen"});
  checkSeedsDiffer(node, faults);
  if (!node.Vm.empty() && !node.Seeds.empty())
    checkOwnSeed(node, faults);
  bool disks = std::ranges::any_of(node.Seeds, &VmView::HasDisk);
  if (!disks)
    faults.push_back({ResultCode::OutOfRange, "/seeds",
                      "at least one VM must have a disk to store the "
                      "settings"});
}

} // namespace

CheckedNodeSettings checkNodeSettings(std::string_view text) {
  CheckedNodeSettings checked;
  auto &faults = checked.Faults;
  auto value = internal::parseJson(text, MaxFileDepth, faults);
  if (!value)
    return checked;
  NodeSettings node;
  ObjectReader reader(*value, "", faults);
  if (!value->is_object())
    return checked;
  node.Vm = base::VmId(reader.readName("vm", Presence::Required).value_or(""));
  node.DataCentre = base::DataCentreId(
      reader.readName("data_centre", Presence::Required).value_or(""));
  node.PeerListen = readListen(reader, "peer_listen", faults);
  node.HttpListen = readListen(reader, "http_listen", faults);
  readSeeds(reader, node, faults);
  node.SettingsReplica =
      reader.readBool("settings_replica", Presence::Optional).value_or(false);
  node.DataCentreReplica =
      reader.readBool("data_centre_replica", Presence::Optional)
          .value_or(false);
  readDataFolder(reader, node);
  node.AdminTokenSha256 =
      internal::readTokenHash(reader, "admin_token_sha256", Presence::Optional)
          .value_or("");
  node.AllowedTargetHosts = internal::readIpPrefixes(
      reader, "allowed_target_hosts", Presence::Optional);
  readLimits(reader, node.Limits, faults);
  node.LogLevel = readLogLevel(reader);
  reader.finish();
  checkTogether(node, faults);
  if (faults.empty())
    checked.Settings = std::move(node);
  return checked;
}

} // namespace magnoliamill::settings

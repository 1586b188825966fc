// Validates a value by the kind of its path.
#include "settings/Schema.h"

#include "settings/internal/JsonReader.h"
#include "settings/internal/ServiceSchema.h"
#include "settings/internal/VmFields.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <limits>

namespace magnoliamill::settings {
namespace {

using base::ResultCode;
using internal::Faults;
using internal::ObjectReader;
using internal::Presence;

constexpr internal::IntegerRange TimeRangeMs{
    1, std::numeric_limits<std::int64_t>::max()};
constexpr internal::IntegerRange EpochRange{
    0, std::numeric_limits<std::int64_t>::max()};

TeamView readTeam(ObjectReader &reader, const SettingsPath &path) {
  TeamView team;
  team.Name = path.Team;
  team.TokenSha256 =
      internal::readTokenHash(reader, "token_sha256", Presence::Required)
          .value_or("");
  return team;
}

/// Reads a field that is either \p first or \p second; true for the second.
bool readChoice(ObjectReader &reader, std::string_view field,
                std::string_view first, std::string_view second) {
  auto word = reader.readString(field, Presence::Required);
  if (word && *word != first && *word != second)
    reader.report(field, ResultCode::OutOfRange,
                  fmt::format("must be \"{}\" or \"{}\"", first, second));
  return word && *word == second;
}

DataCentreRule readDataCentre(ObjectReader &reader, const SettingsPath &path) {
  DataCentreRule rule;
  rule.Id = base::DataCentreId(path.Name);
  rule.Gone = readChoice(reader, "state", "active", "gone");
  rule.AbandonedEpoch = static_cast<std::uint64_t>(
      reader.readInteger("abandoned_epoch", Presence::Optional, EpochRange)
          .value_or(0));
  return rule;
}

std::int64_t readLeaveBy(ObjectReader &reader) {
  const auto *value = reader.readAny("leave_by", Presence::Optional);
  if (!value)
    return 0;
  if (!value->is_string())
    return reader.readInteger("leave_by", Presence::Optional, TimeRangeMs)
        .value_or(0);
  auto text = reader.readString("leave_by", Presence::Optional);
  auto ms = parseIsoTime(*text);
  if (ms && *ms > 0)
    return *ms;
  reader.report("leave_by", ResultCode::OutOfRange,
                "must be a time like 2026-12-31T18:00:00Z or milliseconds "
                "since 1970");
  return 0;
}

TargetRule readTarget(ObjectReader &reader, const SettingsPath &path) {
  TargetRule rule;
  rule.Name = path.Target;
  rule.Leaving = readChoice(reader, "state", "active", "leaving");
  rule.LeaveByMs = readLeaveBy(reader);
  if (reader.has("leave_by") && reader.has("state") && !rule.Leaving)
    reader.report("leave_by", ResultCode::OutOfRange,
                  "only a target with state \"leaving\" has one");
  return rule;
}

TypedValue readValue(ObjectReader &reader, const SettingsPath &path,
                     Faults &faults) {
  switch (path.Kind) {
  case PathKind::Team:
    return readTeam(reader, path);
  case PathKind::Vm: {
    VmView vm;
    vm.Id = base::VmId(path.Name);
    internal::readVmFields(reader, vm);
    return vm;
  }
  case PathKind::DataCentre:
    return readDataCentre(reader, path);
  case PathKind::Target:
    return readTarget(reader, path);
  case PathKind::Service:
    break;
  }
  ServiceView service;
  service.Id = base::ServiceId(path.Name);
  service.Team = path.Team;
  internal::readServiceFields(reader, service, faults);
  return service;
}

} // namespace

CheckedValue checkValue(const SettingsPath &path, std::string_view text) {
  CheckedValue checked;
  if (text.size() > MaxValueBytes) {
    checked.Faults.push_back({ResultCode::ValueTooLarge, "",
                              fmt::format("has {} bytes, the limit is {}",
                                          text.size(), MaxValueBytes)});
    return checked;
  }
  auto value = internal::parseJson(text, MaxValueDepth, checked.Faults);
  if (!value)
    return checked;
  ObjectReader reader(*value, "", checked.Faults);
  auto typed = readValue(reader, path, checked.Faults);
  reader.finish();
  if (!checked.Faults.empty())
    return checked;
  checked.Value = std::move(typed);
  checked.Canonical = boost::json::serialize(*value);
  return checked;
}

} // namespace magnoliamill::settings

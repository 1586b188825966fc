// Writes and reads snapshots. They do not contain the view's teams, services,
// VMs and rules, which are rebuilt from the tree.
#include "settings/internal/Snapshot.h"

#include "settings/internal/JsonConversions.h"
#include "settings/internal/JsonReader.h"

#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace magnoliamill::settings::internal {
namespace {

namespace json = boost::json;
using base::ResultCode;

constexpr std::int64_t FormatVersion = 1;
constexpr std::size_t MaxSnapshotDepth = 16;
constexpr IntegerRange AnyNumber{0, std::numeric_limits<std::int64_t>::max()};
constexpr IntegerRange AnyTime{std::numeric_limits<std::int64_t>::min(),
                               std::numeric_limits<std::int64_t>::max()};

// ---- writing ----

json::array writeTree(const SettingsState &state) {
  json::array out;
  for (const auto &[path, node] : state.Tree)
    out.push_back(json::object{
        {"path", path}, {"version", node.Version}, {"value", node.Value}});
  return out;
}

json::array writeHomes(const View &view) {
  json::array out;
  for (const auto &[service, homes] : view.Homes) {
    json::array slots;
    for (const auto &home : homes)
      slots.push_back(json::object{
          {"home", home.Home.Value},
          {"epoch", home.Epoch},
          {"moving_to", home.MovingTo ? home.MovingTo->Value : ""}});
    out.push_back(
        json::object{{"service", service.Value}, {"slots", std::move(slots)}});
  }
  return out;
}

json::array writeReplicas(const std::vector<consensus::ReplicaId> &replicas) {
  json::array out;
  for (const auto &replica : replicas)
    out.push_back(json::object{{"vm", replica.Vm.Value},
                               {"incarnation", replica.Incarnation}});
  return out;
}

json::array writeGroups(const View &view) {
  json::array out;
  for (const auto &[centre, group] : view.Groups)
    out.push_back(
        json::object{{"data_centre", centre.Value},
                     {"epoch", group.Epoch},
                     {"previous_epoch", group.PreviousEpoch},
                     {"members", writeReplicas(group.FirstMembers.Voters)}});
  return out;
}

json::object writeAuditLog(const BoundedAuditLog &log) {
  json::array entries;
  for (const auto &it : log.entries())
    entries.push_back(json::object{{"index", it.Index},
                                   {"when_ms", it.WhenMs},
                                   {"who", it.Who},
                                   {"action", it.Action},
                                   {"path", it.Path},
                                   {"old", it.OldValue},
                                   {"new", it.NewValue},
                                   {"change_id", it.ChangeId},
                                   {"code", base::numberOf(it.Code)},
                                   {"message", it.Message}});
  return {{"dropped_up_to", log.droppedUpTo()},
          {"entries", std::move(entries)}};
}

json::array writeChangeIds(const ChangeIdTable &table) {
  json::array out;
  for (const auto &key : table.order()) {
    const auto &change = table.at(key);
    // The digest uses all 64 bits, which a JSON number cannot reliably hold.
    out.push_back(
        json::object{{"who", key.Who},
                     {"id", key.Id},
                     {"digest", fmt::format("{:016x}", change.Digest)},
                     {"outcome", encodeOutcome(change.Outcome)}});
  }
  return out;
}

// ---- reading ----

/// Reads the parts of a snapshot into a state.
class SnapshotReader {
public:
  SnapshotReader(SettingsState &state, Faults &faults)
      : State(state), Found(faults) {}

  void read(const json::value &value) {
    ObjectReader in(value, "", Found);
    in.readInteger("format", Presence::Required,
                   {FormatVersion, FormatVersion});
    State.Applied = readNumber(in, "index");
    State.Bootstrapped =
        in.readBool("bootstrapped", Presence::Required).value_or(false);
    forEach(in, "tree", [this](ObjectReader &it) { readNode(it); });
    forEach(in, "homes", [this](ObjectReader &it) { readHomes(it); });
    forEach(in, "groups", [this](ObjectReader &it) { readGroup(it); });
    readAuditLog(in, "operators", State.Audit.Operators);
    readAuditLog(in, "system", State.Audit.System);
    forEach(in, "change_ids", [this](ObjectReader &it) { readChangeId(it); });
    State.Current.Index = readNumber(in, "view_index");
    in.finish();
  }

private:
  static std::uint64_t readNumber(ObjectReader &in, std::string_view field) {
    return static_cast<std::uint64_t>(
        in.readInteger(field, Presence::Required, AnyNumber).value_or(0));
  }

  static std::string readText(ObjectReader &in, std::string_view field) {
    return in.readString(field, Presence::Required).value_or("");
  }

  template <typename Read>
  void forEach(ObjectReader &in, std::string_view field, Read read) {
    const auto *items = in.readArray(field, Presence::Required,
                                     std::numeric_limits<std::size_t>::max());
    for (std::size_t i = 0; items && i < items->size(); ++i) {
      ObjectReader item((*items)[i], fmt::format("{}/{}", in.pathOf(field), i),
                        Found);
      read(item);
      item.finish();
    }
  }

  void readNode(ObjectReader &in) {
    auto text = readText(in, "path");
    auto version = readNumber(in, "version");
    auto value = readText(in, "value");
    auto path = parsePath(text);
    if (!path) {
      in.report("path", ResultCode::PathInvalid, path.error().Message);
      return;
    }
    auto checked = checkValue(path.value(), value);
    if (checked.Value)
      State.put(path.value(), checked, version);
    else
      in.report("value", ResultCode::ValueInvalid, joinFaults(checked.Faults));
  }

  void readHomes(ObjectReader &in) {
    std::vector<SlotHome> homes;
    base::ServiceId service(readText(in, "service"));
    forEach(in, "slots", [&homes](ObjectReader &slot) {
      SlotHome home;
      home.Home = base::DataCentreId(readText(slot, "home"));
      home.Epoch = readNumber(slot, "epoch");
      if (auto to = readText(slot, "moving_to"); !to.empty())
        home.MovingTo = base::DataCentreId(to);
      homes.push_back(std::move(home));
    });
    State.Current.Homes[service] = std::move(homes);
  }

  void readGroup(ObjectReader &in) {
    DataCentreGroupView group;
    base::DataCentreId centre(readText(in, "data_centre"));
    group.Epoch = readNumber(in, "epoch");
    group.PreviousEpoch = readNumber(in, "previous_epoch");
    forEach(in, "members", [&group](ObjectReader &member) {
      auto vm = base::VmId(readText(member, "vm"));
      group.FirstMembers.Voters.push_back(
          {vm, readNumber(member, "incarnation")});
    });
    State.Current.Groups[centre] = std::move(group);
  }

  void readAuditLog(ObjectReader &in, std::string_view field,
                    BoundedAuditLog &log) {
    const auto *value = in.readAny(field, Presence::Required);
    if (!value)
      return;
    ObjectReader reader(*value, in.pathOf(field), Found);
    forEach(reader, "entries", [&](ObjectReader &it) {
      log.add(readEntry(it), State.Limits.AuditEntries,
              State.Limits.AuditBytes);
    });
    log.setDroppedUpTo(readNumber(reader, "dropped_up_to"));
    reader.finish();
  }

  static AuditEntry readEntry(ObjectReader &in) {
    AuditEntry entry;
    entry.Index = readNumber(in, "index");
    entry.WhenMs =
        in.readInteger("when_ms", Presence::Required, AnyTime).value_or(0);
    entry.Who = readText(in, "who");
    entry.Action = readText(in, "action");
    entry.Path = readText(in, "path");
    entry.OldValue = readText(in, "old");
    entry.NewValue = readText(in, "new");
    entry.ChangeId = readText(in, "change_id");
    entry.Code = static_cast<ResultCode>(readNumber(in, "code"));
    entry.Message = readText(in, "message");
    return entry;
  }

  void readChangeId(ObjectReader &in) {
    ChangeKey key{readText(in, "who"), readText(in, "id")};
    auto digest = readText(in, "digest");
    auto outcome = decodeOutcome(readText(in, "outcome"));
    if (!outcome) {
      in.report("outcome", outcome.error().Code, outcome.error().Message);
      return;
    }
    std::uint64_t number = 0;
    auto [end, ec] = std::from_chars(digest.data(),
                                     digest.data() + digest.size(), number, 16);
    if (ec != std::errc() || end != digest.data() + digest.size())
      in.report("digest", ResultCode::ValueInvalid, "not a number");
    State.ChangeIds.remember(std::move(key), number,
                             std::move(outcome.value()));
  }

  SettingsState &State;
  Faults &Found;
};

} // namespace

std::string writeSnapshot(const SettingsState &state) {
  return json::serialize(
      json::object{{"format", FormatVersion},
                   {"index", state.Applied},
                   {"view_index", state.Current.Index},
                   {"bootstrapped", state.Bootstrapped},
                   {"tree", writeTree(state)},
                   {"homes", writeHomes(state.Current)},
                   {"groups", writeGroups(state.Current)},
                   {"operators", writeAuditLog(state.Audit.Operators)},
                   {"system", writeAuditLog(state.Audit.System)},
                   {"change_ids", writeChangeIds(state.ChangeIds)}});
}

base::Result<SettingsState> readSnapshot(std::string_view text,
                                         StateLimits limits) {
  Faults faults;
  SettingsState state(limits);
  if (auto value = parseJson(text, MaxSnapshotDepth, faults))
    SnapshotReader(state, faults).read(*value);
  if (!faults.empty())
    return base::fail(ResultCode::SnapshotDamaged,
                      "settings snapshot: " + joinFaults(faults));
  return state;
}

} // namespace magnoliamill::settings::internal

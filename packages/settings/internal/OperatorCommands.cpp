// Applies operators' changes: checks the change id, the version and the value,
// and records the outcome in the audit trail.
#include "base/Hash.h"
#include "settings/internal/ApplyCommands.h"

#include <fmt/format.h>

namespace magnoliamill::settings::internal {
namespace {

using base::ResultCode;

/// Outcomes are remembered for resends, so their list of faults is bounded. The
/// gateway's own check reports all faults.
constexpr std::size_t MaxOutcomeFaults = 20;
/// In characters; longer paths are truncated.
constexpr std::size_t MaxReportedPath = 512;

std::uint64_t digestOf(std::string_view action, std::string_view path,
                       std::string_view value, std::uint64_t version) {
  auto seed = base::hash64(path, base::hash64(action, version));
  return base::hash64(value, seed);
}

ChangeOutcome refuseValue(std::vector<Fault> faults) {
  auto code = faults.front().Code == ResultCode::ValueTooLarge
                  ? ResultCode::ValueTooLarge
                  : ResultCode::ValueInvalid;
  auto n = faults.size();
  if (n > MaxOutcomeFaults)
    faults.resize(MaxOutcomeFaults);
  auto outcome =
      refuse(code, fmt::format("{} fault{} in the value: {}", n,
                               n == 1 ? "" : "s", joinFaults(faults)));
  outcome.Faults = std::move(faults);
  return outcome;
}

ChangeOutcome refuseVersion(std::uint64_t current, std::uint64_t expected) {
  std::string message =
      current == 0 ? fmt::format("nothing is set there, but version {} was "
                                 "expected",
                                 expected)
      : expected == 0
          ? fmt::format("the path exists with version {}", current)
          : fmt::format("the version is {}, not {}", current, expected);
  auto outcome =
      refuse(ResultCode::VersionConflict,
             message + ": read the path again and repeat the change");
  outcome.Version = current;
  return outcome;
}

ChangeOutcome decideSet(ApplyContext context, const SettingsPath &path,
                        const SetValue &set) {
  auto &state = context.State;
  auto current = state.versionOf(set.Path);
  if (current != set.ExpectedVersion)
    return refuseVersion(current, set.ExpectedVersion);
  auto checked = checkValue(path, set.Value);
  if (checked.Value)
    checked.Faults = checkAgainstState(state, path, *checked.Value);
  if (!checked.Faults.empty())
    return refuseValue(std::move(checked.Faults));
  if (current == 0 && state.Tree.size() >= state.Limits.MaxPaths)
    return refuseValue({{ResultCode::OutOfRange, "",
                         fmt::format("the tree holds {} paths, its limit",
                                     state.Limits.MaxPaths)}});
  state.put(path, checked, context.Index);
  ChangeOutcome outcome;
  outcome.Version = context.Index;
  return outcome;
}

/// True when the team's subtree contains any value.
bool hasSettings(const SettingsState &state, std::string_view team) {
  auto prefix = fmt::format("/teams/{}/", team);
  auto it = state.Tree.lower_bound(prefix);
  return it != state.Tree.end() && it->first.starts_with(prefix);
}

ChangeOutcome decideDelete(ApplyContext context, const SettingsPath &path,
                           const DeleteValue &erase) {
  auto current = context.State.versionOf(erase.Path);
  if (erase.ExpectedVersion == 0)
    return refuse(ResultCode::BadRequest,
                  "a delete names the version that it deletes");
  if (current != erase.ExpectedVersion)
    return refuseVersion(current, erase.ExpectedVersion);
  if (path.Kind == PathKind::Team && hasSettings(context.State, path.Team))
    return refuse(ResultCode::ValueInvalid,
                  "the team still has settings: delete them first");
  context.State.erase(path, context.Index);
  return {};
}

/// Creates the audit entry of a change, without its values and outcome.
template <typename Change>
AuditEntry makeAuditEntry(ApplyContext context, const Change &change,
                          std::string_view action) {
  AuditEntry entry;
  entry.Index = context.Index;
  entry.WhenMs = change.Origin.WhenMs;
  entry.Who = change.Origin.Who;
  entry.Action = action;
  entry.Path = change.Path.substr(0, MaxReportedPath);
  entry.ChangeId = change.Origin.ChangeId.substr(0, MaxIdLength);
  return entry;
}

/// Completes the outcome of a change and adds it to the audit trail.
ChangeOutcome recordOutcome(ApplyContext context, AuditEntry entry,
                            ChangeOutcome outcome) {
  outcome.Path = entry.Path;
  outcome.Index = context.Index;
  outcome.ChangeId = entry.ChangeId;
  entry.Code = outcome.Code;
  entry.Message = outcome.Message;
  context.State.auditOperator(std::move(entry));
  return outcome;
}

/// Common part of set and delete. Calls \p decide unless the change is a
/// resend, its id is refused, or its path is invalid.
template <typename Change, typename Decide>
ChangeOutcome applyChange(ApplyContext context, const Change &change,
                          std::string_view action, std::string_view value,
                          Decide decide) {
  auto &ids = context.State.ChangeIds;
  ChangeKey key{change.Origin.Who, change.Origin.ChangeId};
  auto digest = digestOf(action, change.Path, value, change.ExpectedVersion);
  if (const auto *first = ids.findOutcome(key, digest))
    return *first;
  auto entry = makeAuditEntry(context, change, action);
  if (auto refused = ids.validate(key, context.Index))
    return recordOutcome(context, std::move(entry), std::move(*refused));
  auto path = parsePath(change.Path);
  if (path) {
    entry.OldValue = context.State.redactedAt(path.value());
    if (value.size() <= MaxValueBytes)
      entry.NewValue = redact(path.value().Kind, value);
  }
  auto outcome =
      recordOutcome(context, std::move(entry),
                    path ? decide(path.value())
                         : refuse(path.error().Code, path.error().Message));
  ids.remember(std::move(key), digest, outcome);
  return outcome;
}

} // namespace

ChangeOutcome refuse(ResultCode code, std::string message) {
  ChangeOutcome outcome;
  outcome.Code = code;
  outcome.Message = std::move(message);
  return outcome;
}

ChangeOutcome applyCommand(ApplyContext context, const SetValue &set) {
  return applyChange(
      context, set, "set", set.Value,
      [&](const SettingsPath &path) { return decideSet(context, path, set); });
}

ChangeOutcome applyCommand(ApplyContext context, const DeleteValue &erase) {
  return applyChange(context, erase, "delete", "",
                     [&](const SettingsPath &path) {
                       return decideDelete(context, path, erase);
                     });
}

} // namespace magnoliamill::settings::internal

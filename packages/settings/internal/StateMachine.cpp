// Connects the log to the commands, the state and its snapshots.
#include "settings/StateMachine.h"

#include "settings/internal/ApplyCommands.h"
#include "settings/internal/SettingsState.h"
#include "settings/internal/Snapshot.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::settings {

using base::ResultCode;

struct StateMachine::State {
  explicit State(StateLimits limits) : Data(limits) {}

  internal::SettingsState Data;
  // The last view that was returned; outdated when its index differs.
  ViewPtr Cached;
};

StateMachine::StateMachine(StateLimits limits)
    : Self(std::make_unique<State>(limits)) {}
StateMachine::~StateMachine() = default;
StateMachine::StateMachine(StateMachine &&) noexcept = default;
StateMachine &StateMachine::operator=(StateMachine &&) noexcept = default;

std::string StateMachine::apply(consensus::LogIndex index,
                                std::string_view command) {
  auto &data = Self->Data;
  if (index <= data.Applied)
    return encodeOutcome(
        internal::refuse(ResultCode::ProposalDropped,
                         fmt::format("index {} is applied already", index)));
  skip(index);
  auto decoded = decodeCommand(command);
  if (!decoded) {
    auto outcome =
        internal::refuse(decoded.error().Code, decoded.error().Message);
    outcome.Index = index;
    return encodeOutcome(outcome);
  }
  auto outcome = std::visit(
      [&](const auto &it) {
        return internal::applyCommand({data, index}, it);
      },
      decoded.value());
  if (outcome.Index == 0)
    outcome.Index = index;
  return encodeOutcome(outcome);
}

void StateMachine::skip(consensus::LogIndex index) {
  auto &data = Self->Data;
  if (index <= data.Applied)
    return;
  data.Applied = index;
  data.ChangeIds.expire(index);
}

consensus::LogIndex StateMachine::appliedIndex() const {
  return Self->Data.Applied;
}

std::string StateMachine::snapshot() const {
  return internal::writeSnapshot(Self->Data);
}

base::Result<void> StateMachine::restore(std::string_view data) {
  auto restored = internal::readSnapshot(data, Self->Data.Limits);
  if (!restored)
    return base::fail(restored.error());
  if (restored.value().Applied < Self->Data.Applied)
    return base::fail(ResultCode::ProposalDropped,
                      fmt::format("the snapshot ends at index {}, {} is "
                                  "applied already",
                                  restored.value().Applied,
                                  Self->Data.Applied));
  Self->Data = std::move(restored.value());
  Self->Cached.reset();
  return base::ok();
}

ViewPtr StateMachine::viewNow() const {
  const auto &view = Self->Data.Current;
  if (!Self->Cached || Self->Cached->Index != view.Index)
    Self->Cached = std::make_shared<const View>(view);
  return Self->Cached;
}

base::Result<StoredValue> StateMachine::get(std::string_view path) const {
  auto parsed = parsePath(path);
  if (!parsed)
    return base::fail(parsed.error());
  const auto &data = Self->Data;
  auto version = data.versionOf(path);
  if (version == 0)
    return base::fail(ResultCode::PathUnknown,
                      fmt::format("nothing is set at {}", path));
  return StoredValue{std::string(path), data.redactedAt(parsed.value()),
                     version};
}

std::vector<StoredValue> StateMachine::list(std::string_view prefix) const {
  std::vector<StoredValue> found;
  const auto &tree = Self->Data.Tree;
  for (auto it = tree.lower_bound(prefix); it != tree.end(); ++it) {
    if (!it->first.starts_with(prefix))
      break;
    if (isAtOrBelow(it->first, prefix))
      found.push_back({it->first, "", it->second.Version});
  }
  return found;
}

std::vector<AuditEntry> StateMachine::audit(const AuditQuery &query) const {
  return Self->Data.Audit.query(query);
}

consensus::LogIndex StateMachine::auditDroppedUpTo() const {
  const auto &audit = Self->Data.Audit;
  return std::max(audit.Operators.droppedUpTo(), audit.System.droppedUpTo());
}

} // namespace magnoliamill::settings

// The replicated state of the settings group.
#pragma once

#include "settings/Schema.h"
#include "settings/SettingsPath.h"
#include "settings/StateMachine.h"
#include "settings/View.h"
#include "settings/internal/AuditTrail.h"
#include "settings/internal/ChangeIdTable.h"

#include <cstdint>
#include <map>
#include <string>

namespace magnoliamill::settings::internal {

struct TreeNode {
  /// Canonical JSON text.
  std::string Value;
  std::uint64_t Version = 0;
};

/// Invariant: Current is what the tree says, besides Homes and Groups, which
/// the tree does not hold.
struct SettingsState {
  explicit SettingsState(StateLimits limits)
      : Limits(limits), ChangeIds(limits.ChangeIdWindow) {}

  StateLimits Limits;
  std::map<std::string, TreeNode, std::less<>> Tree;
  View Current;
  /// True once the first VMs were taken from the seeds.
  bool Bootstrapped = false;
  consensus::LogIndex Applied = 0;
  ChangeIdTable ChangeIds;
  AuditTrail Audit;

  /// Writes a checked value to tree and view.
  void put(const SettingsPath &path, const CheckedValue &value,
           std::uint64_t version);
  /// Takes a path out of tree and view.
  void erase(const SettingsPath &path, consensus::LogIndex index);
  /// Notes that the view has changed at \p index.
  void markChanged(consensus::LogIndex index) { Current.Index = index; }
  /// The version of \p path, 0 when nothing is set there.
  std::uint64_t versionOf(std::string_view path) const;
  /// The value of \p path with secrets redacted, "" when nothing is set there.
  std::string redactedAt(const SettingsPath &path) const;
  /// True when the service that \p path names is in force and belongs to the
  /// path's team.
  bool ownsService(const SettingsPath &path) const;

  void auditOperator(AuditEntry entry);
  void auditSystem(AuditEntry entry);

private:
  void putIntoView(const SettingsPath &path, const TypedValue &value);
  void putServiceIntoView(const ServiceView &service);
  void removeFromView(const SettingsPath &path);
};

/// \p value as it may be shown.
std::string redact(PathKind kind, std::string_view value);

} // namespace magnoliamill::settings::internal

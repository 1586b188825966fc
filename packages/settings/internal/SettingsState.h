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

/// A value of the settings tree.
struct TreeNode {
  /// Canonical JSON text.
  std::string Value;
  std::uint64_t Version = 0;
};

/// Invariant: Current corresponds to Tree, except for Homes and Groups, which
/// are not in the tree.
struct SettingsState {
  explicit SettingsState(StateLimits limits)
      : Limits(limits), ChangeIds(limits.ChangeIdWindow) {}

  StateLimits Limits;
  std::map<std::string, TreeNode, std::less<>> Tree;
  View Current;
  /// True once the VMs listed as seeds were registered.
  bool Bootstrapped = false;
  consensus::LogIndex Applied = 0;
  ChangeIdTable ChangeIds;
  AuditTrail Audit;

  /// Writes a checked value to the tree and the view.
  void put(const SettingsPath &path, const CheckedValue &value,
           std::uint64_t version);
  /// Removes a path from the tree and the view.
  void erase(const SettingsPath &path, consensus::LogIndex index);
  /// Records that the view was changed at \p index.
  void markChanged(consensus::LogIndex index) { Current.Index = index; }
  /// The version of \p path, 0 when nothing is set there.
  std::uint64_t versionOf(std::string_view path) const;
  /// The value of \p path with secrets redacted, "" when nothing is set there.
  std::string redactedAt(const SettingsPath &path) const;
  /// True when the service that \p path names exists and belongs to the path's
  /// team.
  bool ownsService(const SettingsPath &path) const;

  void auditOperator(AuditEntry entry);
  void auditSystem(AuditEntry entry);

private:
  void putIntoView(const SettingsPath &path, const TypedValue &value);
  void putServiceIntoView(const ServiceView &service);
  void removeFromView(const SettingsPath &path);
};

/// \p value with its secrets replaced, so that it may be shown.
std::string redact(PathKind kind, std::string_view value);

} // namespace magnoliamill::settings::internal

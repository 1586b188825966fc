// Validation of settings values against the schema of their path.
#pragma once

#include "settings/Fault.h"
#include "settings/SettingsPath.h"
#include "settings/View.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliamill::settings {

constexpr std::size_t MaxValueBytes = 64u << 10;
constexpr std::size_t MaxValueDepth = 8;
constexpr std::uint32_t MaxSlots = 65536;

using TypedValue =
    std::variant<TeamView, VmView, DataCentreRule, ServiceView, TargetRule>;

/// The result of a check. Value is set when there are no faults.
struct CheckedValue {
  std::optional<TypedValue> Value;
  /// The JSON text without whitespace, as it is stored.
  std::string Canonical;
  std::vector<Fault> Faults;
};

/// Checks \p text against the schema of \p path: unknown fields, types, ranges,
/// size and depth. Does not depend on the current settings. The gateway calls
/// it before it proposes a change, and the state machine calls it again.
CheckedValue checkValue(const SettingsPath &path, std::string_view text);

/// Milliseconds since 1970 of "2026-12-31T18:00:00Z" (also with offset
/// "+01:00" and fractions of a second).
std::optional<std::int64_t> parseIsoTime(std::string_view text);

/// Canonical JSON text of a VM, as stored at /admin/vms/VM.
std::string renderVm(const VmView &vm);

} // namespace magnoliamill::settings

// Strong types for identifiers, so that for example a VM id cannot be passed
// where a target id is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace magnoliamill::base {

/// A string with a distinct type for each Tag; Tag itself is never defined.
template <typename Tag> struct Name {
  std::string Value;

  Name() = default;
  explicit Name(std::string value) : Value(std::move(value)) {}
  explicit Name(std::string_view value) : Value(value) {}
  explicit Name(const char *value) : Value(value) {}

  bool empty() const { return Value.empty(); }
  auto operator<=>(const Name &) const = default;
};

/// A VM that runs the daemon, from its settings file.
using VmId = Name<struct VmIdTag>;
/// A data centre, from the settings file of its VMs.
using DataCentreId = Name<struct DataCentreIdTag>;
/// A service, the last part of its settings path.
using ServiceId = Name<struct ServiceIdTag>;
/// A client account: the customer of the platform that a request is counted
/// for.
using ClientAccountId = Name<struct ClientAccountIdTag>;
/// One run of a target's process. A restarted target has a new id, which
/// invalidates the grants given to the previous run.
using TargetInstanceId = Name<struct TargetInstanceIdTag>;
/// A request; unique for each run of the daemon on the VM that received it.
using RequestId = Name<struct RequestIdTag>;

/// Number of a slot within its service, 0 .. slots-1.
using SlotNumber = std::uint32_t;

/// A slot of a service: the unit of ownership.
struct SlotId {
  ServiceId Service;
  SlotNumber Slot = 0;
  auto operator<=>(const SlotId &) const = default;
};

} // namespace magnoliamill::base

template <typename Tag> struct std::hash<magnoliamill::base::Name<Tag>> {
  std::size_t operator()(const magnoliamill::base::Name<Tag> &name) const {
    return std::hash<std::string>()(name.Value);
  }
};

template <> struct std::hash<magnoliamill::base::SlotId> {
  std::size_t operator()(const magnoliamill::base::SlotId &id) const {
    return std::hash<std::string>()(id.Service.Value) * 31 + id.Slot;
  }
};

// The fields of a VM, which stand in the settings tree and in the daemon's own
// settings file alike.
#pragma once

#include "settings/View.h"
#include "settings/internal/JsonReader.h"

namespace magnoliamill::settings::internal {

constexpr IntegerRange PortRange{1, 65535};

/// Reads all fields but the VM's name.
void readVmFields(ObjectReader &reader, VmView &vm);

/// A field that holds a numeric IP.
std::optional<std::string> readIp(ObjectReader &reader, std::string_view field);

/// A list of numeric IPs and prefixes.
std::vector<std::string> readIpPrefixes(ObjectReader &reader,
                                        std::string_view field, Presence need);

/// Reads a field that holds 64 lower-case hexadecimal digits.
std::optional<std::string> readTokenHash(ObjectReader &reader,
                                         std::string_view field, Presence need);

} // namespace magnoliamill::settings::internal

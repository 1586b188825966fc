// Fields that occur both in the settings tree and in the daemon's settings
// file.
#pragma once

#include "settings/View.h"
#include "settings/internal/JsonReader.h"

namespace magnoliamill::settings::internal {

constexpr IntegerRange PortRange{1, 65535};

/// Reads all fields except the VM's name.
void readVmFields(ObjectReader &reader, VmView &vm);

/// Reads a required field that holds a numeric IP.
std::optional<std::string> readIp(ObjectReader &reader, std::string_view field);

/// Reads a list of numeric IPs and prefixes.
std::vector<std::string> readIpPrefixes(ObjectReader &reader,
                                        std::string_view field, Presence need);

/// Reads a field that holds a SHA-256 in 64 lower-case hexadecimal digits.
std::optional<std::string> readTokenHash(ObjectReader &reader,
                                         std::string_view field, Presence need);

} // namespace magnoliamill::settings::internal

// Lookup of HTTP headers and removal of those that must not be forwarded.
#pragma once

#include "protocol/Messages.h"

#include <string_view>
#include <vector>

namespace magnoliamill::gateway {

/// Compares ASCII text case-insensitively.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Removes the headers that apply to a single connection: hop-by-hop headers,
/// the headers listed in Connection, framing headers, Host and Expect.
void stripConnectionHeaders(std::vector<protocol::HttpHeader> &headers);

/// Removes the headers that must not be forwarded: those that
/// stripConnectionHeaders() removes, Idempotency-Key and all Mill-* headers.
void stripForForwarding(std::vector<protocol::HttpHeader> &headers);

/// Returns the value of the first header \p name, or an empty string if there
/// is none.
std::string_view findHeader(const std::vector<protocol::HttpHeader> &headers,
                            std::string_view name);

/// Returns the number of headers named \p name.
std::size_t countHeader(const std::vector<protocol::HttpHeader> &headers,
                        std::string_view name);

} // namespace magnoliamill::gateway

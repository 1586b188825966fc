// Includes the generated code of the schema and provides the string conversions
// used by both codecs.
#pragma once

#include <capnp/message.h>
#include <mill.capnp.h>

#include <string>
#include <string_view>

namespace magnoliamill::protocol::internal {

/// The text may contain any bytes; it is NUL-terminated on the wire.
inline capnp::Text::Reader asText(const std::string &text) {
  return {text.c_str(), text.size()};
}

inline capnp::Data::Reader asData(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

inline std::string toString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

inline std::string toString(capnp::Data::Reader bytes) {
  return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

} // namespace magnoliamill::protocol::internal

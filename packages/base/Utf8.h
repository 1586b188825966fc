// Checks and repairs the encoding of text from other processes.
#pragma once

#include <string>
#include <string_view>

namespace magnoliamill::base {

/// True if \p text is well-formed UTF-8: no overlong forms, surrogates or code
/// points above U+10FFFF.
bool isUtf8(std::string_view text);

/// \p text with each byte that is not part of a well-formed sequence replaced
/// by U+FFFD.
std::string repairUtf8(std::string_view text);

} // namespace magnoliamill::base

// Validates sequences by the ranges of their first two bytes, as in table 3-7
// of the Unicode standard.
#include "base/Utf8.h"

#include <algorithm>
#include <cstddef>

namespace magnoliamill::base {
namespace {

constexpr std::string_view Replacement = "\xEF\xBF\xBD";

bool isBetween(char c, unsigned first, unsigned last) {
  const auto byte = static_cast<unsigned char>(c);
  return first <= byte && byte <= last;
}

bool isContinuation(char c) { return isBetween(c, 0x80, 0xBF); }

/// The length of the sequence that its first byte announces; 0 for a byte that
/// begins none.
std::size_t announcedLength(char first) {
  if (isBetween(first, 0x00, 0x7F))
    return 1;
  if (isBetween(first, 0xC2, 0xDF))
    return 2;
  if (isBetween(first, 0xE0, 0xEF))
    return 3;
  return isBetween(first, 0xF0, 0xF4) ? 4 : 0;
}

bool isSecondByte(char first, char second) {
  switch (static_cast<unsigned char>(first)) {
  case 0xE0:
    return isBetween(second, 0xA0, 0xBF);
  case 0xED:
    return isBetween(second, 0x80, 0x9F);
  case 0xF0:
    return isBetween(second, 0x90, 0xBF);
  case 0xF4:
    return isBetween(second, 0x80, 0x8F);
  default:
    return isContinuation(second);
  }
}

/// The length of the well-formed sequence that \p text, which is not empty,
/// begins with; 0 if there is none.
std::size_t sequenceLength(std::string_view text) {
  const std::size_t n = announcedLength(text[0]);
  if (n <= 1)
    return n;
  if (text.size() < n || !isSecondByte(text[0], text[1]) ||
      !std::ranges::all_of(text.substr(2, n - 2), isContinuation))
    return 0;
  return n;
}

} // namespace

bool isUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t n = sequenceLength(text);
    if (n == 0)
      return false;
    text.remove_prefix(n);
  }
  return true;
}

std::string repairUtf8(std::string_view text) {
  std::string repaired;
  while (!text.empty()) {
    const std::size_t n = sequenceLength(text);
    repaired += n > 0 ? text.substr(0, n) : Replacement;
    text.remove_prefix(std::max<std::size_t>(n, 1));
  }
  return repaired;
}

} // namespace magnoliamill::base

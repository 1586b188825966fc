// A first pass looks for duplicate members and reads fractions exactly, which
// boost::json does not; a second one builds the value.
#include "base/StrictJson.h"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <cmath>
#include <set>
#include <string>
#include <vector>

namespace magnoliamill::base {
namespace {

/// Parse handler of the first pass: tracks the member names of the objects that
/// are currently open and keeps the first duplicate and all fractions.
struct FirstPass {
  // These names are required by boost::json::basic_parser.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);
  // NOLINTEND(readability-identifier-naming)

  using Text = boost::json::string_view;
  using ErrorCode = boost::json::error_code;

  std::size_t ValuesLeft = 0;
  std::vector<std::set<std::string, std::less<>>> OpenObjects;
  std::string PartialKey;
  std::string Duplicate;
  std::string PartialNumber;
  /// All fractions, in their order in the text.
  std::vector<double> Fractions;

  bool countValue(ErrorCode &ec) {
    if (ValuesLeft > 0) {
      --ValuesLeft;
      return true;
    }
    ec = boost::json::error::array_too_large;
    return false;
  }

  // These names are required by boost::json::basic_parser.
  // NOLINTBEGIN(readability-identifier-naming)
  bool on_document_begin(ErrorCode &) { return true; }
  bool on_document_end(ErrorCode &) { return true; }
  bool on_object_begin(ErrorCode &ec) {
    OpenObjects.emplace_back();
    return countValue(ec);
  }
  bool on_object_end(std::size_t, ErrorCode &) {
    OpenObjects.pop_back();
    return true;
  }
  bool on_array_begin(ErrorCode &ec) { return countValue(ec); }
  bool on_array_end(std::size_t, ErrorCode &) { return true; }
  bool on_key_part(Text text, std::size_t, ErrorCode &) {
    PartialKey.append(text.data(), text.size());
    return true;
  }
  bool on_key(Text text, std::size_t, ErrorCode &) {
    PartialKey.append(text.data(), text.size());
    if (!OpenObjects.back().insert(PartialKey).second && Duplicate.empty())
      Duplicate = PartialKey;
    PartialKey.clear();
    return true;
  }
  bool on_string_part(Text, std::size_t, ErrorCode &) { return true; }
  bool on_string(Text, std::size_t, ErrorCode &ec) { return countValue(ec); }
  bool on_number_part(Text text, ErrorCode &) {
    PartialNumber.append(text.data(), text.size());
    return true;
  }
  bool on_int64(std::int64_t, Text, ErrorCode &ec) {
    PartialNumber.clear();
    return countValue(ec);
  }
  bool on_uint64(std::uint64_t, Text, ErrorCode &ec) {
    PartialNumber.clear();
    return countValue(ec);
  }
  bool on_double(double value, Text text, ErrorCode &ec) {
    PartialNumber.append(text.data(), text.size());
    const char *end = PartialNumber.data() + PartialNumber.size();
    // Out of range, \p value is kept: zero or infinite.
    std::from_chars(PartialNumber.data(), end, value);
    Fractions.push_back(value);
    PartialNumber.clear();
    return countValue(ec);
  }
  bool on_bool(bool, ErrorCode &ec) { return countValue(ec); }
  bool on_null(ErrorCode &ec) { return countValue(ec); }
  bool on_comment_part(Text, ErrorCode &) { return true; }
  bool on_comment(Text, ErrorCode &) { return true; }
  // NOLINTEND(readability-identifier-naming)
};

/// Replaces the fractions in \p value, in the order of the text, by those from
/// \p next on.
void setFractions(boost::json::value &value,
                  std::vector<double>::const_iterator &next) {
  if (value.is_double())
    value = *next++;
  else if (auto *array = value.if_array())
    for (auto &item : *array)
      setFractions(item, next);
  else if (auto *object = value.if_object())
    for (auto &member : *object)
      setFractions(member.value(), next);
}

auto describeError(const boost::json::error_code &ec,
                   const JsonLimits &limits) {
  if (ec == boost::json::error::too_deep)
    return fail(ResultCode::JsonMalformed, "nested deeper than " +
                                               std::to_string(limits.Depth) +
                                               " levels");
  if (ec == boost::json::error::array_too_large)
    return fail(ResultCode::JsonMalformed,
                "more than " + std::to_string(limits.Values) + " values");
  return fail(ResultCode::JsonMalformed, "not JSON: " + ec.message());
}

} // namespace

Result<boost::json::value> parseStrictJson(std::string_view text,
                                           JsonLimits limits) {
  boost::json::parse_options options;
  options.max_depth = limits.Depth;
  boost::json::basic_parser<FirstPass> first(options);
  first.handler().ValuesLeft = limits.Values;
  boost::json::error_code ec;
  const std::size_t n = first.write_some(false, text.data(), text.size(), ec);
  if (!ec && n < text.size())
    ec = boost::json::error::extra_data;
  if (ec)
    return describeError(ec, limits);
  if (!first.handler().Duplicate.empty())
    return fail(ResultCode::DuplicateField,
                "duplicate member '" + first.handler().Duplicate + "'");
  const auto &fractions = first.handler().Fractions;
  if (!std::ranges::all_of(fractions,
                           [](double it) { return std::isfinite(it); }))
    return fail(ResultCode::JsonMalformed, "a number is out of range");
  auto value = boost::json::parse(text, ec, {}, options);
  if (ec)
    return describeError(ec, limits);
  if (auto next = fractions.cbegin(); next != fractions.cend())
    setFractions(value, next);
  return value;
}

} // namespace magnoliamill::base

// A JSON-like value and its CBOR form, for the calls of targets and operators.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace review {

struct Value;
using List = std::vector<Value>;
using Object = std::vector<std::pair<std::string, Value>>;

struct Value {
  std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, List,
               Object>
      Data = nullptr;

  Value() = default;
  Value(bool flag) : Data(flag) {}
  Value(int number) : Data(static_cast<std::int64_t>(number)) {}
  Value(std::int64_t number) : Data(number) {}
  Value(double number) : Data(number) {}
  Value(const char *text) : Data(std::string(text)) {}
  Value(std::string text) : Data(std::move(text)) {}
  Value(List list) : Data(std::move(list)) {}
  Value(Object object) : Data(std::move(object)) {}

  /// The member \p name of an object; null if there is none.
  const Value *find(std::string_view name) const;
  /// The integer, or 0.
  std::int64_t number() const;
  /// The text, or an empty one.
  std::string text() const;
  /// The items, or none.
  const List &items() const;
};

std::string writeCbor(const Value &value);
/// Not set if \p bytes is not one CBOR value of the kinds above.
std::optional<Value> readCbor(std::string_view bytes);

} // namespace review

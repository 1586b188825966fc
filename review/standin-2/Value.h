// Values of the bodies of control calls, and their encoding in CBOR.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace standin {

struct Value {
  enum class Kind { Null, Bool, Number, Decimal, Text, List, Map };
  using Member = std::pair<std::string, Value>;

  Value() = default;
  Value(bool flag) : Type(Kind::Bool), Flag(flag) {}
  Value(int number) : Value(static_cast<std::uint64_t>(number)) {}
  Value(std::uint64_t number) : Type(Kind::Number), Number(number) {}
  Value(double number) : Type(Kind::Decimal), Decimal(number) {}
  Value(const char *text) : Type(Kind::Text), Text(text) {}
  Value(std::string text) : Type(Kind::Text), Text(std::move(text)) {}

  static Value list(std::vector<Value> items);
  static Value map(std::vector<Member> members);

  /// The member \p name of a map; null if there is none.
  const Value *find(std::string_view name) const;

  Kind Type = Kind::Null;
  bool Flag = false;
  std::uint64_t Number = 0;
  double Decimal = 0;
  std::string Text;
  std::vector<Value> Items;
  std::vector<Member> Members;
};

std::string encode(const Value &value);
/// Not set if \p bytes are not exactly one value whose texts are UTF-8.
std::optional<Value> decode(std::string_view bytes);

} // namespace standin

// Encodes and decodes the part of CBOR that bodies of control calls use.
#include "Value.h"

#include <bit>

namespace standin {
namespace {

enum Major : unsigned char {
  Unsigned = 0,
  TextString = 3,
  Array = 4,
  Pairs = 5,
  Simple = 7
};
constexpr unsigned char False = 20;
constexpr unsigned char True = 21;
constexpr unsigned char Null = 22;
constexpr unsigned char Float64 = 27;
constexpr int MaxDepth = 32;

void putHead(std::string &out, Major major, std::uint64_t number) {
  const auto first = static_cast<unsigned char>(major << 5);
  int size = 0;
  if (number < 24) {
    out.push_back(static_cast<char>(first | number));
    return;
  }
  unsigned char code = 24;
  for (size = 1; size < 8 && (number >> (8 * size)) != 0; size *= 2)
    ++code;
  out.push_back(static_cast<char>(first | code));
  for (int i = size - 1; i >= 0; --i)
    out.push_back(static_cast<char>(number >> (8 * i)));
}

void put(std::string &out, const Value &value) {
  switch (value.Type) {
  case Value::Kind::Null:
    return putHead(out, Simple, Null);
  case Value::Kind::Bool:
    return putHead(out, Simple, value.Flag ? True : False);
  case Value::Kind::Number:
    return putHead(out, Unsigned, value.Number);
  case Value::Kind::Decimal: {
    out.push_back(static_cast<char>(Simple << 5 | Float64));
    const auto bits = std::bit_cast<std::uint64_t>(value.Decimal);
    for (int i = 7; i >= 0; --i)
      out.push_back(static_cast<char>(bits >> (8 * i)));
    return;
  }
  case Value::Kind::Text:
    putHead(out, TextString, value.Text.size());
    out += value.Text;
    return;
  case Value::Kind::List:
    putHead(out, Array, value.Items.size());
    for (const Value &item : value.Items)
      put(out, item);
    return;
  case Value::Kind::Map:
    putHead(out, Pairs, value.Members.size());
    for (const auto &[name, member] : value.Members) {
      put(out, Value(name));
      put(out, member);
    }
  }
}

/// Checks the lengths of sequences and their continuation bytes.
bool isUtf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    std::size_t length = 0;
    if (lead < 0x80)
      length = 1;
    else if (lead >= 0xC2 && lead < 0xE0)
      length = 2;
    else if (lead >= 0xE0 && lead < 0xF0)
      length = 3;
    else if (lead >= 0xF0 && lead < 0xF5)
      length = 4;
    if (length == 0 || i + length > text.size())
      return false;
    for (std::size_t n = 1; n < length; ++n)
      if ((static_cast<unsigned char>(text[i + n]) & 0xC0) != 0x80)
        return false;
    i += length;
  }
  return true;
}

class Decoder {
public:
  explicit Decoder(std::string_view bytes) : Left(bytes) {}

  bool isEnd() const { return Left.empty(); }

  std::optional<Value> read(int depth) {
    if (Left.empty() || depth > MaxDepth)
      return std::nullopt;
    const auto first = static_cast<unsigned char>(Left.front());
    Left.remove_prefix(1);
    const auto info = static_cast<unsigned char>(first & 31);
    if (first >> 5 == Simple)
      return readSimple(info);
    const auto number = readNumber(info);
    if (!number)
      return std::nullopt;
    switch (first >> 5) {
    case Unsigned:
      return Value(*number);
    case TextString:
      return readText(*number);
    case Array:
      return readList(*number, depth);
    case Pairs:
      return readMap(*number, depth);
    default:
      return std::nullopt;
    }
  }

private:
  std::optional<std::uint64_t> readNumber(unsigned char info) {
    if (info < 24)
      return info;
    if (info > Float64)
      return std::nullopt;
    const std::size_t size = std::size_t{1} << (info - 24);
    if (Left.size() < size)
      return std::nullopt;
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < size; ++i)
      number = number << 8 | static_cast<unsigned char>(Left[i]);
    Left.remove_prefix(size);
    return number;
  }
  std::optional<Value> readSimple(unsigned char info) {
    if (info == False || info == True)
      return Value(info == True);
    if (info == Null)
      return Value();
    const auto bits = info == Float64 ? readNumber(info) : std::nullopt;
    if (!bits)
      return std::nullopt;
    return Value(std::bit_cast<double>(*bits));
  }
  std::optional<Value> readText(std::uint64_t size) {
    if (Left.size() < size || !isUtf8(Left.substr(0, size)))
      return std::nullopt;
    Value value(std::string(Left.substr(0, size)));
    Left.remove_prefix(size);
    return value;
  }
  std::optional<Value> readList(std::uint64_t count, int depth) {
    Value value = Value::list({});
    for (std::uint64_t i = 0; i < count; ++i) {
      auto item = read(depth + 1);
      if (!item)
        return std::nullopt;
      value.Items.push_back(std::move(*item));
    }
    return value;
  }
  std::optional<Value> readMap(std::uint64_t count, int depth) {
    Value value = Value::map({});
    for (std::uint64_t i = 0; i < count; ++i) {
      auto name = read(depth + 1);
      auto member = read(depth + 1);
      if (!name || !member || name->Type != Value::Kind::Text)
        return std::nullopt;
      value.Members.emplace_back(std::move(name->Text), std::move(*member));
    }
    return value;
  }

  std::string_view Left;
};

} // namespace

Value Value::list(std::vector<Value> items) {
  Value value;
  value.Type = Kind::List;
  value.Items = std::move(items);
  return value;
}

Value Value::map(std::vector<Member> members) {
  Value value;
  value.Type = Kind::Map;
  value.Members = std::move(members);
  return value;
}

const Value *Value::find(std::string_view name) const {
  for (const auto &[key, member] : Members)
    if (key == name)
      return &member;
  return nullptr;
}

std::string encode(const Value &value) {
  std::string out;
  put(out, value);
  return out;
}

std::optional<Value> decode(std::string_view bytes) {
  Decoder decoder(bytes);
  auto value = decoder.read(0);
  return decoder.isEnd() ? value : std::nullopt;
}

} // namespace standin

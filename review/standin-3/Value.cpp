// Writes and reads the part of CBOR that the platform's calls use.
#include "Value.h"

#include <cstring>

namespace review {
namespace {

void writeHead(std::string &out, int major, std::uint64_t number) {
  const auto First = static_cast<unsigned char>(major << 5);
  const auto append = [&](unsigned char info, int bytes) {
    out.push_back(static_cast<char>(First | info));
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
      out.push_back(static_cast<char>(number >> shift & 0xFF));
  };
  if (number < 24)
    out.push_back(static_cast<char>(First | number));
  else if (number <= 0xFF)
    append(24, 1);
  else if (number <= 0xFFFF)
    append(25, 2);
  else if (number <= 0xFFFFFFFF)
    append(26, 4);
  else
    append(27, 8);
}

void write(std::string &out, const Value &value) {
  if (const auto *flag = std::get_if<bool>(&value.Data)) {
    out.push_back(static_cast<char>(*flag ? 0xF5 : 0xF4));
  } else if (const auto *number = std::get_if<std::int64_t>(&value.Data)) {
    if (*number >= 0)
      writeHead(out, 0, static_cast<std::uint64_t>(*number));
    else
      writeHead(out, 1, static_cast<std::uint64_t>(-1 - *number));
  } else if (const auto *real = std::get_if<double>(&value.Data)) {
    std::uint64_t bits = 0;
    std::memcpy(&bits, real, sizeof bits);
    out.push_back(static_cast<char>(0xFB));
    for (int shift = 56; shift >= 0; shift -= 8)
      out.push_back(static_cast<char>(bits >> shift & 0xFF));
  } else if (const auto *text = std::get_if<std::string>(&value.Data)) {
    writeHead(out, 3, text->size());
    out += *text;
  } else if (const auto *list = std::get_if<List>(&value.Data)) {
    writeHead(out, 4, list->size());
    for (const auto &item : *list)
      write(out, item);
  } else if (const auto *object = std::get_if<Object>(&value.Data)) {
    writeHead(out, 5, object->size());
    for (const auto &[name, member] : *object) {
      writeHead(out, 3, name.size());
      out += name;
      write(out, member);
    }
  } else {
    out.push_back(static_cast<char>(0xF6));
  }
}

class Reader {
public:
  explicit Reader(std::string_view bytes) : Rest(bytes) {}

  bool isEnd() const { return Rest.empty(); }

  std::optional<Value> read(int depth) {
    if (Rest.empty() || depth > 16)
      return std::nullopt;
    const auto first = static_cast<unsigned char>(Rest.front());
    Rest.remove_prefix(1);
    const int major = first >> 5;
    const int info = first & 31;
    if (major == 7)
      return readSimple(info);
    const auto number = readNumber(info);
    if (!number)
      return std::nullopt;
    switch (major) {
    case 0:
      return Value(static_cast<std::int64_t>(*number));
    case 1:
      return Value(-1 - static_cast<std::int64_t>(*number));
    case 3:
      return readText(*number);
    case 4:
      return readList(*number, depth);
    case 5:
      return readObject(*number, depth);
    default:
      return std::nullopt;
    }
  }

private:
  std::optional<std::uint64_t> readNumber(int info) {
    if (info < 24)
      return static_cast<std::uint64_t>(info);
    if (info > 27)
      return std::nullopt;
    return readBytes(std::size_t{1} << (info - 24));
  }
  std::optional<std::uint64_t> readBytes(std::size_t count) {
    if (Rest.size() < count)
      return std::nullopt;
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < count; ++i)
      number = number << 8 | static_cast<unsigned char>(Rest[i]);
    Rest.remove_prefix(count);
    return number;
  }
  std::optional<Value> readSimple(int info) {
    if (info == 20 || info == 21)
      return Value(info == 21);
    if (info == 22)
      return Value();
    const auto bits = info == 27 ? readBytes(8) : std::nullopt;
    if (!bits)
      return std::nullopt;
    double real = 0;
    std::memcpy(&real, &*bits, sizeof real);
    return Value(real);
  }
  std::optional<Value> readText(std::uint64_t size) {
    if (Rest.size() < size)
      return std::nullopt;
    std::string text(Rest.substr(0, size));
    Rest.remove_prefix(size);
    return Value(std::move(text));
  }
  std::optional<Value> readList(std::uint64_t count, int depth) {
    List list;
    for (std::uint64_t i = 0; i < count; ++i) {
      auto item = read(depth + 1);
      if (!item)
        return std::nullopt;
      list.push_back(std::move(*item));
    }
    return Value(std::move(list));
  }
  std::optional<Value> readObject(std::uint64_t count, int depth) {
    Object object;
    for (std::uint64_t i = 0; i < count; ++i) {
      auto name = read(depth + 1);
      auto member = name ? read(depth + 1) : std::nullopt;
      if (!member)
        return std::nullopt;
      object.emplace_back(name->text(), std::move(*member));
    }
    return Value(std::move(object));
  }

  std::string_view Rest;
};

} // namespace

const Value *Value::find(std::string_view name) const {
  if (const auto *object = std::get_if<Object>(&Data))
    for (const auto &[key, member] : *object)
      if (key == name)
        return &member;
  return nullptr;
}

std::int64_t Value::number() const {
  const auto *number = std::get_if<std::int64_t>(&Data);
  return number ? *number : 0;
}

std::string Value::text() const {
  const auto *text = std::get_if<std::string>(&Data);
  return text ? *text : std::string();
}

const List &Value::items() const {
  static const List None;
  const auto *list = std::get_if<List>(&Data);
  return list ? *list : None;
}

std::string writeCbor(const Value &value) {
  std::string out;
  write(out, value);
  return out;
}

std::optional<Value> readCbor(std::string_view bytes) {
  Reader reader(bytes);
  auto value = reader.read(0);
  return value && reader.isEnd() ? std::move(value) : std::nullopt;
}

} // namespace review

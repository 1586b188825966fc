// Renders tables. The columns are the fields of the first object in a list.
#include "Output.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <ostream>

namespace magnoliamill::millctl {
namespace {

namespace json = boost::json;

bool isObjectList(const json::value &value) {
  const auto *items = value.if_array();
  return items && !items->empty() &&
         std::ranges::all_of(*items,
                             [](const auto &it) { return it.is_object(); });
}

void printObjects(std::ostream &out, const json::array &items) {
  std::vector<std::vector<std::string>> rows(1);
  for (const auto &field : items.front().get_object())
    rows.front().emplace_back(field.key());
  for (const auto &item : items) {
    std::vector<std::string> row;
    for (const auto &name : rows.front()) {
      const auto *cell = item.get_object().if_contains(name);
      row.push_back(cell ? renderCell(*cell) : "");
    }
    rows.push_back(std::move(row));
  }
  printTable(out, rows);
}

} // namespace

std::string renderCell(const json::value &value) {
  if (const auto *text = value.if_string())
    return {text->data(), text->size()};
  if (value.is_null())
    return "-";
  return json::serialize(value);
}

void printTable(std::ostream &out,
                const std::vector<std::vector<std::string>> &rows) {
  std::vector<std::size_t> widths;
  for (const auto &row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto &row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
      line += fmt::format("{:<{}}", row[i], widths[i] + 2);
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

void printAnswer(const CommandContext &context, const json::value &answer) {
  if (context.Flags.Json || !answer.is_object()) {
    context.Out << json::serialize(answer) << '\n';
    return;
  }
  std::vector<std::vector<std::string>> fields;
  for (const auto &field : answer.get_object())
    if (!isObjectList(field.value()))
      fields.push_back({std::string(field.key()), renderCell(field.value())});
  printTable(context.Out, fields);
  for (const auto &field : answer.get_object())
    if (isObjectList(field.value()))
      printObjects(context.Out, field.value().get_array());
}

} // namespace magnoliamill::millctl

// Answers as JSON or as tables.
#pragma once

#include "Commands.h"

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::millctl {

/// Prints the answer as it is (json), or as one line per field, with a table
/// for each list of objects (table).
void printAnswer(const CommandContext &context,
                 const boost::json::value &answer);

/// A table whose columns are as wide as their widest cell.
void printTable(std::ostream &out,
                const std::vector<std::vector<std::string>> &rows);

/// Strings without quotes, everything else as JSON.
std::string renderCell(const boost::json::value &value);

} // namespace magnoliamill::millctl

// Prints answers as JSON or as tables.
#pragma once

#include "Commands.h"

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::millctl {

/// Prints \p answer as JSON for --output=json or when it is not an object.
/// Otherwise prints one line per field, followed by a table for each list of
/// objects.
void printAnswer(const CommandContext &context,
                 const boost::json::value &answer);

/// Prints a table in which each column is as wide as its widest cell.
void printTable(std::ostream &out,
                const std::vector<std::vector<std::string>> &rows);

/// Renders strings without quotes, null as "-" and everything else as JSON.
std::string renderCell(const boost::json::value &value);

} // namespace magnoliamill::millctl

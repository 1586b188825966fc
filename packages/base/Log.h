// Structured logging: one JSON object per line on standard output.
#pragma once

#include "base/ResultCode.h"

#include <boost/json/value_from.hpp>
#include <initializer_list>
#include <optional>
#include <string_view>

namespace magnoliamill::base {

enum class LogLevel { Debug, Info, Warning, Error };

/// A named value of a log line. Standard names: request, change, target, path.
struct LogField {
  template <typename T>
  LogField(std::string_view name, const T &value)
      : Name(name), Value(boost::json::value_from(value)) {}

  std::string_view Name;
  boost::json::value Value;
};

/// Sets the VM and data centre that every log line carries. Called once at
/// start.
void setLogIdentity(std::string_view vm, std::string_view centre);
/// Lines below \p lowest are not written.
void setLogLevel(LogLevel lowest);
/// Parses debug, info, warning or error; nothing for other names.
std::optional<LogLevel> parseLogLevel(std::string_view name);

/// Writes one line: time, level, vm, dc, component, code, text, fields. \p text
/// is a constant without data, since lines are grouped by component and text:
/// of each group at most 20 lines a second are written, and the next line
/// written holds the number of those left out ("omitted"). Never blocks: the
/// line is dropped when standard output is full. Safe from any thread.
void log(LogLevel level, std::string_view component, ResultCode code,
         std::string_view text, std::initializer_list<LogField> fields = {});

inline void logInfo(std::string_view component, std::string_view text,
                    std::initializer_list<LogField> fields = {}) {
  log(LogLevel::Info, component, ResultCode::Ok, text, fields);
}

inline void logWarning(std::string_view component, ResultCode code,
                       std::string_view text,
                       std::initializer_list<LogField> fields = {}) {
  log(LogLevel::Warning, component, code, text, fields);
}

inline void logError(std::string_view component, ResultCode code,
                     std::string_view text,
                     std::initializer_list<LogField> fields = {}) {
  log(LogLevel::Error, component, code, text, fields);
}

} // namespace magnoliamill::base

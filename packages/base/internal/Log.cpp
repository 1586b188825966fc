// Formats log lines with Boost.JSON and writes each with one call.
#include "base/Log.h"

#include "base/Time.h"

#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <string>

namespace magnoliamill::base {
namespace {

struct LogIdentity {
  std::string Vm;
  std::string DataCentre;
};

LogIdentity &identity() {
  static LogIdentity Identity;
  return Identity;
}

std::atomic<LogLevel> LowestLevel{LogLevel::Info};

std::string_view nameOfLevel(LogLevel level) {
  switch (level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "unknown";
}

} // namespace

void setLogIdentity(std::string_view vm, std::string_view centre) {
  identity() = {std::string(vm), std::string(centre)};
}

void setLogLevel(LogLevel lowest) { LowestLevel = lowest; }

void log(LogLevel level, std::string_view component, ResultCode code,
         std::string_view text, std::initializer_list<LogField> fields) {
  if (level < LowestLevel.load(std::memory_order_relaxed))
    return;
  boost::json::object line;
  line["ts_ms"] = readWallMs();
  line["level"] = nameOfLevel(level);
  line["vm"] = identity().Vm;
  line["dc"] = identity().DataCentre;
  line["component"] = component;
  line["code"] = numberOf(code);
  line["text"] = text;
  for (const LogField &field : fields)
    line[field.Name] = field.Value;
  // One call per line: lines of several threads do not mix.
  fmt::print(stderr, "{}\n", boost::json::serialize(line));
}

} // namespace magnoliamill::base

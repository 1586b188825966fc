// Formats log lines as JSON, limits their rate and writes them without
// blocking.
#include "base/Log.h"

#include "base/Metrics.h"
#include "base/Time.h"
#include "base/Utf8.h"

#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <mutex>
#include <poll.h>
#include <prometheus/counter.h>
#include <string>
#include <unistd.h>

namespace magnoliamill::base {
namespace {

/// A pipe that polls as writable accepts this many bytes without blocking
/// (PIPE_BUF on Linux).
constexpr std::size_t MaxLineBytes = 4096;
/// Lines of one group written per window; further ones are only counted. Bounds
/// the processor time of logging on a VM with a tenth of a core.
constexpr std::uint32_t MaxLinesPerGroup = 20;
constexpr std::int64_t WindowMs = 1000;

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

/// Limits the rate of lines with the same component and text.
class LogLimiter {
public:
  struct Decision {
    bool IsWritten = true;
    /// Lines of this group that were left out since the last one written.
    std::uint32_t Omitted = 0;
  };

  Decision admit(std::string_view component, std::string_view text,
                 std::int64_t now) {
    std::lock_guard lock(Mutex);
    LineGroup &group =
        LineGroups[std::string(component) + '\n' + std::string(text)];
    if (now - group.WindowStart >= WindowMs || now < group.WindowStart) {
      group.WindowStart = now;
      group.Written = 0;
    }
    if (group.Written >= MaxLinesPerGroup) {
      ++group.Omitted;
      return {false, 0};
    }
    ++group.Written;
    return {true, std::exchange(group.Omitted, 0)};
  }

private:
  struct LineGroup {
    std::int64_t WindowStart = 0;
    std::uint32_t Written = 0;
    std::uint32_t Omitted = 0;
  };
  std::mutex Mutex;
  std::map<std::string, LineGroup> LineGroups;
};

LogLimiter &limiter() {
  static LogLimiter Limiter;
  return Limiter;
}

/// Field values may hold any bytes that another process has sent.
boost::json::value makeReadable(const boost::json::value &value) {
  const auto *text = value.if_string();
  return text && !isUtf8(*text) ? boost::json::value(repairUtf8(*text)) : value;
}

/// Writes the whole line, or drops it when that would block.
void writeLine(const std::string &line) {
  static prometheus::Counter &Dropped =
      counter("mill_log_lines_dropped_total",
              "Log lines dropped because standard output had no room.");
  pollfd fd{STDOUT_FILENO, POLLOUT, 0};
  const bool HasRoom = ::poll(&fd, 1, 0) > 0 && (fd.revents & POLLOUT) != 0;
  if (!HasRoom || ::write(STDOUT_FILENO, line.data(), line.size()) < 0)
    Dropped.Increment();
}

} // namespace

void setLogIdentity(std::string_view vm, std::string_view centre) {
  identity() = {std::string(vm), std::string(centre)};
}

void setLogLevel(LogLevel lowest) { LowestLevel = lowest; }

std::optional<LogLevel> parseLogLevel(std::string_view name) {
  for (auto level :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error})
    if (nameOfLevel(level) == name)
      return level;
  return std::nullopt;
}

void log(LogLevel level, std::string_view component, ResultCode code,
         std::string_view text, std::initializer_list<LogField> fields) {
  if (level < LowestLevel.load(std::memory_order_relaxed))
    return;
  const auto decision = limiter().admit(
      component, text, toMs(readMonotonic().time_since_epoch()));
  if (!decision.IsWritten)
    return;
  boost::json::object line;
  line["ts_ms"] = readWallMs();
  line["level"] = nameOfLevel(level);
  line["vm"] = identity().Vm;
  line["dc"] = identity().DataCentre;
  line["component"] = component;
  line["code"] = numberOf(code);
  line["text"] = text;
  if (decision.Omitted > 0)
    line["omitted"] = decision.Omitted;
  boost::json::object nofields = line;
  for (const LogField &field : fields)
    line[field.Name] = makeReadable(field.Value);
  std::string bytes = boost::json::serialize(line) + '\n';
  if (bytes.size() > MaxLineBytes) {
    nofields["fields_bytes"] = bytes.size();
    bytes = boost::json::serialize(nofields) + '\n';
  }
  writeLine(bytes);
}

} // namespace magnoliamill::base

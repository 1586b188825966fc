// Log of the requests that a target ran, one JSON object per line. Tests merge
// and check the logs of several processes on one machine.
#pragma once

#include "base/Time.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace magnoliamill::fakes {

/// One request that was run. Times are in microseconds of CLOCK_MONOTONIC,
/// which is the same for all processes on a machine.
struct Run {
  std::string Request;
  std::string Key;
  std::string Slot;
  std::string Token;
  std::string Method;
  std::string Path;
  std::string ClientAccount;
  std::string Idempotency;
  base::MonoTime StartedAt;
  base::MonoTime EndedAt;
  bool IsCancelled = false;
};

/// Appends each line with a single unbuffered write, so that completed lines
/// survive when the process is killed.
class RunLog {
public:
  /// With an empty \p path nothing is logged.
  RunLog(const std::string &path, std::string instance, std::string name);
  ~RunLog();
  RunLog(const RunLog &) = delete;
  RunLog &operator=(const RunLog &) = delete;

  /// Lines with an "event" ("start", "begin", "end") are not runs. "begin"
  /// marks the start of a run; the line of the run follows unless the process
  /// dies.
  void appendEvent(const char *event);
  void appendBegin(const Run &run);
  void appendRun(const Run &run);

private:
  void appendLine(boost::json::object line);

  int File = -1;
  std::string Instance;
  std::string Name;
};

} // namespace magnoliamill::fakes

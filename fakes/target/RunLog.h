// The record of what a target ran, one JSON object per line, for judging the
// runs of several processes of one machine together.
#pragma once

#include "base/Time.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace magnoliamill::fakes {

/// One request that was run. Times are microseconds on CLOCK_MONOTONIC, which
/// all processes of a machine share.
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

/// Appends with one write per line, so that a killed process loses no line
/// that it has finished.
class RunLog {
public:
  /// An empty \p path records nothing.
  RunLog(const std::string &path, std::string instance, std::string name);
  ~RunLog();
  RunLog(const RunLog &) = delete;
  RunLog &operator=(const RunLog &) = delete;

  /// Lines with an "event" ("start", "begin", "end") are not runs. "begin"
  /// tells of a run that has started: its line follows unless the process dies.
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

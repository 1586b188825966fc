// Writes the run log with unbuffered appends.
#include "fakes/target/RunLog.h"

#include "base/Log.h"

#include <boost/json/serialize.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace magnoliamill::fakes {
namespace {

std::int64_t toUs(base::MonoTime time) {
  return time.time_since_epoch().count();
}

boost::json::object describeRun(const Run &run) {
  boost::json::object line;
  line["request"] = run.Request;
  line["key"] = run.Key;
  line["slot"] = run.Slot;
  line["token"] = run.Token;
  line["method"] = run.Method;
  line["path"] = run.Path;
  line["account"] = run.ClientAccount;
  if (!run.Idempotency.empty())
    line["idempotency"] = run.Idempotency;
  line["start_us"] = toUs(run.StartedAt);
  return line;
}

} // namespace

RunLog::RunLog(const std::string &path, std::string instance, std::string name)
    : Instance(std::move(instance)), Name(std::move(name)) {
  if (path.empty())
    return;
  File = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (File < 0)
    base::logError("fake-target", base::ResultCode::FileUnreadable,
                   "cannot open the run log", {{"path", path.c_str()}});
}

RunLog::~RunLog() {
  if (File >= 0)
    ::close(File);
}

void RunLog::appendEvent(const char *event) {
  boost::json::object line;
  line["event"] = event;
  line["at_us"] = toUs(base::readMonotonic());
  appendLine(std::move(line));
}

void RunLog::appendBegin(const Run &run) {
  boost::json::object line = describeRun(run);
  line["event"] = "begin";
  appendLine(std::move(line));
}

void RunLog::appendRun(const Run &run) {
  boost::json::object line = describeRun(run);
  line["end_us"] = toUs(run.EndedAt);
  line["cancelled"] = run.IsCancelled;
  appendLine(std::move(line));
}

void RunLog::appendLine(boost::json::object line) {
  if (File < 0)
    return;
  line["instance"] = Instance;
  line["name"] = Name;
  const std::string text = boost::json::serialize(line) + "\n";
  if (::write(File, text.data(), text.size()) !=
      static_cast<ssize_t>(text.size()))
    base::logError("fake-target", base::ResultCode::StorageFailed,
                   "cannot write a line of the run log");
}

} // namespace magnoliamill::fakes

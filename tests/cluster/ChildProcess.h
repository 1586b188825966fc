// A process that a test starts, signals by its id and waits for.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace magnoliamill::tests {

class ChildProcess {
public:
  /// Output goes to \p log. Throws when the program can't be started.
  ChildProcess(const std::vector<std::string> &command,
               const std::filesystem::path &log);
  /// Ends the process with SIGKILL when it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int number);
  /// The exit code, or 128 + signal number.
  int wait();
  bool isRunning();
  pid_t id() const { return Pid; }

private:
  pid_t Pid = -1;
  std::optional<int> ExitCode;
};

} // namespace magnoliamill::tests

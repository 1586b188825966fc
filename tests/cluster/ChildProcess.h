// A child process that a test starts, signals and waits for.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace magnoliamill::tests {

class ChildProcess {
public:
  /// Starts the program \p command[0]; its standard output and error are
  /// appended to \p log. Throws std::runtime_error when it can't be started.
  ChildProcess(const std::vector<std::string> &command,
               const std::filesystem::path &log);
  /// Kills the process with SIGKILL if it is still running and waits for it.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Sends the signal \p number unless the process is known to have ended.
  void signal(int number);
  /// Freezes the process with SIGSTOP and returns when all its threads have
  /// stopped: kill() returns while they still run. SIGCONT resumes them.
  void freeze();
  /// Waits for the process to end. Returns its exit code, or 128 + the number
  /// of the signal that ended it.
  int wait();
  bool isRunning();
  pid_t id() const { return Pid; }

private:
  pid_t Pid = -1;
  std::optional<int> ExitCode;
};

} // namespace magnoliamill::tests

// Implements ChildProcess with posix_spawn and waitpid.
#include "cluster/ChildProcess.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace magnoliamill::tests {
namespace {

int decodeStatus(int status) {
  if (WIFEXITED(status))
    return WEXITSTATUS(status);
  return 128 + WTERMSIG(status);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command,
                           const std::filesystem::path &log) {
  std::vector<char *> arguments;
  arguments.reserve(command.size() + 1);
  for (const auto &word : command)
    arguments.push_back(const_cast<char *>(word.c_str()));
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  int failed = posix_spawn(&Pid, arguments[0], &actions, nullptr,
                           arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0)
    throw std::runtime_error("cannot start " + command[0]);
}

ChildProcess::~ChildProcess() {
  if (!isRunning())
    return;
  signal(SIGKILL);
  wait();
}

void ChildProcess::signal(int number) {
  if (!ExitCode)
    kill(Pid, number);
}

void ChildProcess::freeze() {
  signal(SIGSTOP);
  if (ExitCode)
    return;
  // WNOWAIT leaves the state to be read again: by a second freeze, or by wait.
  siginfo_t info{};
  while (waitid(P_PID, static_cast<id_t>(Pid), &info,
                WSTOPPED | WEXITED | WNOWAIT) < 0 &&
         errno == EINTR) {
  }
}

int ChildProcess::wait() {
  if (ExitCode)
    return *ExitCode;
  int status = 0;
  while (waitpid(Pid, &status, 0) < 0 && errno == EINTR) {
  }
  ExitCode = decodeStatus(status);
  return *ExitCode;
}

bool ChildProcess::isRunning() {
  if (ExitCode)
    return false;
  int status = 0;
  if (waitpid(Pid, &status, WNOHANG) != Pid)
    return true;
  ExitCode = decodeStatus(status);
  return false;
}

} // namespace magnoliamill::tests

// Starts, restarts and ends the project's processes.
#include "Fleet.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

/// A process that has ended is started again after this time.
constexpr std::chrono::milliseconds RestartDelay{300};
constexpr std::size_t FirstEntry = 11;
constexpr std::size_t FirstUpstream = 31;

} // namespace

Fleet::Fleet(std::string program, std::filesystem::path folder, Record &record)
    : Program(std::move(program)), Folder(std::move(folder)), Log(record) {
  std::filesystem::create_directories(Folder);
  if (!choosePort())
    return;
  writeSettings(true);
  for (std::size_t i = 0; i < CoreCount; ++i)
    Processes["core" + std::to_string(i)] = {};
  for (std::size_t i = 0; i < EntryCount; ++i)
    Processes["entry" + std::to_string(i)] = {};
  for (auto &[name, process] : Processes)
    process.Pid = start(name);
  // Read at the start only; later starts are not the first ones.
  std::this_thread::sleep_for(1s);
  writeSettings(false);
  Supervisor = std::thread([this] { supervise(); });
  IsStarted = true;
}

Fleet::~Fleet() {
  IsStopping = true;
  if (Supervisor.joinable())
    Supervisor.join();
  for (const auto &[name, process] : Processes)
    if (process.Pid > 0) {
      ::kill(process.Pid, SIGKILL);
      ::waitpid(process.Pid, nullptr, 0);
    }
  std::error_code ec;
  std::filesystem::remove_all(Folder, ec);
}

std::string Fleet::host(std::size_t n) const {
  return "127.0." + std::to_string(Net) + "." + std::to_string(n);
}

bool Fleet::choosePort() {
  for (int i = 0; i < 50; ++i) {
    Net = 20 + (::getpid() + i * 7) % 200;
    Port =
        static_cast<std::uint16_t>(20000 + (::getpid() * 11 + i * 97) % 9000);
    bool IsFree = true;
    for (std::uint16_t offset = 0; offset < 5; ++offset)
      IsFree =
          IsFree &&
          Socket::listen({host(1), static_cast<std::uint16_t>(Port + offset)})
              .isOpen();
    if (IsFree)
      return true;
  }
  return false;
}

std::vector<Address> Fleet::controls() const {
  std::vector<Address> out;
  for (std::size_t i = 0; i < CoreCount; ++i)
    out.push_back({host(1 + i), static_cast<std::uint16_t>(Port + 1)});
  return out;
}

Address Fleet::client(std::size_t entry) const {
  return {host(FirstEntry + entry), static_cast<std::uint16_t>(Port + 2)};
}

Address Fleet::upstream(std::size_t n) const {
  return {host(FirstUpstream + n), static_cast<std::uint16_t>(Port + 4)};
}

void Fleet::write(const std::string &name, const std::string &fields) const {
  std::string seeds;
  for (const auto &core : controls())
    seeds += (seeds.empty() ? "\"" : ",\"") + core.text() + "\"";
  std::ofstream(Folder / (name + ".json"))
      << R"({"vm":")" << name << R"(","link_port":)" << Port << R"(,"seeds":[)"
      << seeds << R"(],"stop_grace_s":6,"heartbeat_interval_ms":870,)" << fields
      << "}";
}

void Fleet::writeSettings(bool first) const {
  for (std::size_t i = 0; i < CoreCount; ++i) {
    const std::string name = "core" + std::to_string(i);
    write(name, R"("duty":"core","data_centre":")" + zoneOf(i) +
                    R"(","host":")" + host(1 + i) + R"(","control_listen":")" +
                    controls()[i].text() + R"(","data_folder":")" +
                    (Folder / name).string() +
                    R"(","control_body":"cbor","found":)" +
                    (first ? "true" : "false") +
                    R"(,"loss_tolerance":1,"data_centres":["gc-a","gc-b"],)" +
                    R"("balance_by_load":true)");
  }
  for (std::size_t i = 0; i < EntryCount; ++i) {
    const std::string name = "entry" + std::to_string(i);
    const Address ready{host(FirstEntry + i),
                        static_cast<std::uint16_t>(Port + 3)};
    write(name, R"("duty":"entry","data_centre":")" + zoneOf(i) +
                    R"(","host":")" + host(FirstEntry + i) +
                    R"(","client_listen":")" + client(i).text() +
                    R"(","readiness_listen":")" + ready.text() +
                    R"(","target_drain_ms":2000,"memory_mb":260,)" +
                    R"("link_mbps":1000)");
  }
}

pid_t Fleet::start(const std::string &name) const {
  const std::string settings = (Folder / (name + ".json")).string();
  const std::string log = (Folder / (name + ".log")).string();
  const pid_t pid = ::fork();
  if (pid != 0)
    return pid;
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(fd, 1);
  ::dup2(fd, 2);
  ::execl(Program.c_str(), Program.c_str(), "--settings", settings.c_str(),
          static_cast<char *>(nullptr));
  ::_exit(127);
}

void Fleet::supervise() {
  while (!IsStopping) {
    std::this_thread::sleep_for(20ms);
    const std::lock_guard lock(Mutex);
    for (auto &[name, process] : Processes) {
      int status = 0;
      if (process.Pid > 0 &&
          ::waitpid(process.Pid, &status, WNOHANG) == process.Pid) {
        process.Pid = 0;
        ++process.Ends;
        process.NextStart = Clock::now() + RestartDelay;
        Log.add("platform: " + name + " has ended by itself, " +
                (WIFSIGNALED(status)
                     ? "signal " + std::to_string(WTERMSIG(status))
                     : "exit code " + std::to_string(WEXITSTATUS(status))));
      }
      if (process.Pid == 0 && Clock::now() >= process.NextStart)
        process.Pid = start(name);
    }
  }
}

std::map<std::string, int> Fleet::ends() {
  const std::lock_guard lock(Mutex);
  std::map<std::string, int> out;
  for (const auto &[name, process] : Processes)
    out[name] = process.Ends;
  return out;
}

bool Fleet::order(const std::string &method, const std::string &target,
                  const Value &body, int wanted) const {
  const auto text = writeCbor(body);
  for (int i = 0; i < 60; ++i) {
    const auto reply =
        callOnce(controls()[static_cast<std::size_t>(i) % CoreCount], method,
                 target, {{"Content-Type", "application/cbor"}}, text);
    if (reply && reply->status() == wanted)
      return true;
    std::this_thread::sleep_for(250ms);
  }
  return false;
}

bool Fleet::isReady(std::size_t entry) const {
  const auto reply =
      callOnce({host(FirstEntry + entry), static_cast<std::uint16_t>(Port + 3)},
               "GET", "/v1/readiness", {}, "");
  return reply && reply->status() == 200;
}

} // namespace review

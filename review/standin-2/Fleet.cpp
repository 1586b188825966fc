// Starts, watches and ends the processes.
#include "Fleet.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {
namespace {

using namespace std::chrono_literals;

/// DEPLOY.md: "restarted after a short delay".
constexpr auto RestartDelay = 500ms;
constexpr auto WatchInterval = 20ms;
/// Ports that are tried until one is free on all hosts.
constexpr int PortTries = 200;
constexpr std::size_t MaxSeeds = 3;

std::string quote(const std::string &text) { return "\"" + text + "\""; }

std::string formatVersion(std::uint64_t version) {
  char text[16];
  std::snprintf(text, sizeof text, "%08llx",
                static_cast<unsigned long long>(version));
  return text;
}

Value makeItem(const std::string &type, std::vector<Value::Member> metadata,
               std::uint64_t version, std::vector<Value::Member> spec) {
  metadata.emplace_back("version", formatVersion(version));
  return Value::map({{"resource_type", type},
                     {"metadata", Value::map(std::move(metadata))},
                     {"spec", Value::map(std::move(spec))}});
}

} // namespace

Fleet::Fleet(FleetConfig config, Record &record)
    : Config(std::move(config)), Out(record), Net(20 + ::getpid() % 200) {
  std::filesystem::create_directories(Config.Folder);
  if (!choosePorts())
    throw std::runtime_error("no free ports");
  for (std::size_t i = 0; i < Config.Cores; ++i)
    startCore(i, true);
  for (std::size_t i = 0; i < Config.Entries; ++i)
    startEntry(i);
  Watcher = std::thread([this] { watch(); });
}

Fleet::~Fleet() {
  {
    const std::lock_guard lock(Mutex);
    IsStopping = true;
  }
  Watcher.join();
  for (const auto &[name, process] : Processes)
    if (process.Pid > 0) {
      ::kill(process.Pid, SIGKILL);
      ::waitpid(process.Pid, nullptr, 0);
    }
}

std::string Fleet::coreHost(std::size_t i) const {
  return "127.60." + std::to_string(Net) + "." + std::to_string(i + 1);
}

std::string Fleet::entryHost(std::size_t i) const {
  return "127.61." + std::to_string(Net) + "." + std::to_string(i + 1);
}

bool Fleet::choosePorts() {
  for (int n = 0; n < PortTries; ++n) {
    const auto first = static_cast<std::uint16_t>(
        12000 + (::getpid() * 8 + n * 8) % 16000 / 8 * 8);
    bool free = true;
    for (std::uint16_t port = first; port < first + 4; ++port) {
      for (std::size_t i = 0; i < Config.Cores; ++i)
        free = free && listenOn(coreHost(i), port).isOpen();
      for (std::size_t i = 0; i < Config.Entries; ++i)
        free = free && listenOn(entryHost(i), port).isOpen();
    }
    if (!free)
      continue;
    Link = first;
    ControlPort = static_cast<std::uint16_t>(first + 1);
    Front = static_cast<std::uint16_t>(first + 2);
    Ready = static_cast<std::uint16_t>(first + 3);
    return true;
  }
  return false;
}

void Fleet::startCore(std::size_t i, bool first) {
  const std::string name = "core-" + std::to_string(i);
  std::string zones;
  for (const auto &zone : Config.Zones)
    zones += (zones.empty() ? "" : ",") + quote(zone);
  std::filesystem::create_directories(Config.Folder / name);
  start(name,
        R"("data_centre":)" + quote(zone(i)) + R"(,"duty":"core","host":)" +
            quote(coreHost(i)) + R"(,"control_listen":)" +
            quote(control(i).text()) + R"(,"data_folder":)" +
            quote((Config.Folder / name).string()) +
            R"(,"control_body":"cbor","found":)" + (first ? "true" : "false") +
            R"(,"loss_tolerance":1,"stop_grace_s":6,"data_centres":[)" + zones +
            R"(],"balance_by_load":true)");
}

void Fleet::startEntry(std::size_t i) {
  start("entry-" + std::to_string(i),
        R"("data_centre":)" + quote(zone(i)) + R"(,"duty":"entry","host":)" +
            quote(entryHost(i)) + R"(,"client_listen":)" +
            quote(front(i).text()) + R"(,"readiness_listen":)" +
            quote(ready(i).text()) +
            R"(,"stop_grace_s":6,"target_drain_ms":2000,"memory_mb":)" +
            std::to_string(Config.EntryMemoryMb) + R"(,"link_mbps":1000.0)");
}

void Fleet::start(const std::string &name, const std::string &settings) {
  std::string seeds;
  for (std::size_t i = 0; i < std::min(MaxSeeds, Config.Cores); ++i)
    seeds += (i == 0 ? "" : ",") + quote(control(i).text());
  const auto file = Config.Folder / (name + ".json");
  std::ofstream(file) << R"({"vm":)" << quote(name) << R"(,"link_port":)"
                      << Link << R"(,"seeds":[)" << seeds
                      << R"(],"heartbeat_interval_ms":870,)" << settings << "}";
  const auto log = (Config.Folder / (name + ".log")).string();
  const pid_t pid = ::fork();
  if (pid == 0) {
    // It ends with the thread that has started it, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(Config.Program.c_str(), Config.Program.c_str(), "--settings",
            file.c_str(), nullptr);
    ::_exit(127);
  }
  Processes[name].Pid = pid;
  Out.write("platform starts " + name);
}

void Fleet::watch() {
  while (true) {
    std::this_thread::sleep_for(WatchInterval);
    const std::lock_guard lock(Mutex);
    if (IsStopping)
      return;
    for (auto &[name, process] : Processes) {
      int status = 0;
      if (process.Pid > 0 &&
          ::waitpid(process.Pid, &status, WNOHANG) == process.Pid) {
        const bool planned = process.IsStopped;
        process = {-1, Clock::now() + RestartDelay, false};
        Ends[name] += planned ? 0 : 1;
        Out.write(name + (planned ? " has stopped, " : " ended by itself, ") +
                  (WIFSIGNALED(status)
                       ? "signal " + std::to_string(WTERMSIG(status))
                       : "exit code " + std::to_string(WEXITSTATUS(status))));
      }
      if (process.Pid > 0 || Clock::now() < process.RestartAt)
        continue;
      const auto i = std::stoul(name.substr(name.find('-') + 1));
      if (name.starts_with("core"))
        startCore(i, false);
      else
        startEntry(i);
    }
  }
}

std::optional<Message> Fleet::callControl(const std::string &method,
                                          const std::string &path,
                                          const std::string &body,
                                          std::chrono::seconds limit) {
  const auto end = Clock::now() + limit;
  for (std::size_t i = 0; Clock::now() < end; ++i) {
    auto answer = call(control(i % Config.Cores), method, path, body, 1s);
    if (answer && answer->status() < 500)
      return answer;
    std::this_thread::sleep_for(100ms);
  }
  return std::nullopt;
}

bool Fleet::waitUntilReady(std::chrono::seconds limit) {
  const auto end = Clock::now() + limit;
  for (std::size_t i = 0; i < Config.Entries;) {
    const auto answer = call(ready(i), "GET", "/v1/readiness", "", 1s);
    if (answer && answer->status() == 200) {
      ++i;
      continue;
    }
    if (Clock::now() >= end)
      return false;
    std::this_thread::sleep_for(100ms);
  }
  return true;
}

void Fleet::stopCore(std::size_t core) {
  const std::string name = "core-" + std::to_string(core);
  const std::lock_guard lock(Mutex);
  auto &process = Processes[name];
  process.IsStopped = true;
  ::kill(process.Pid, SIGTERM);
  Out.write("platform stops " + name + " with SIGTERM");
}

std::size_t Fleet::coreAt(const std::string &address) const {
  std::size_t core = 0;
  while (core < Config.Cores && control(core).text() != address)
    ++core;
  return core;
}

std::map<std::string, int> Fleet::ends() const {
  const std::lock_guard lock(Mutex);
  auto ends = Ends;
  std::erase_if(ends, [](const auto &it) { return it.second == 0; });
  return ends;
}

Value makeRoute(const std::string &name, std::uint64_t version,
                const std::string &host, const std::string &prefix,
                const std::string &type, int timeout, int objective,
                const std::string &service) {
  return makeItem("routes", {{"name", name}}, version,
                  {{"hostname", host},
                   {"path_prefix", prefix},
                   {"route_type", type},
                   {"timeout_ms", timeout},
                   {"target_latency_ms", objective},
                   {"priority", 1},
                   {"service", service},
                   {"max_attempts", 2}});
}

Value makeService(const std::string &name, std::uint64_t version,
                  bool sharded) {
  std::vector<Value::Member> spec = {{"health_path", "/health"},
                                     {"max_connections", 120},
                                     {"protocol", "h1"},
                                     {"tls", false}};
  if (sharded) {
    spec.emplace_back("sharded", true);
    spec.emplace_back("warm_s", 5.0);
    spec.emplace_back("grants", "heartbeat");
  }
  return makeItem("services", {{"name", name}}, version, std::move(spec));
}

Value makeLimits(std::uint64_t version) {
  return makeItem("limits", {}, version,
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 67108864},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}});
}

std::string makeChange(std::vector<Value> items) {
  return encode(Value::map(
      {{"upsert", Value::map({{"resources", Value::list(std::move(items))}})},
       {"remove", Value::map({{"routes", Value::list({})}})}}));
}

} // namespace standin

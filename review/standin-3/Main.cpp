// The review's scripts: starts a small deployment, brings its disruption and
// judges one rule by what clients, upstreams and the platform have seen.
//
//   standin CASE DAEMON FOLDER RECORD
//
// The environment variable TROUBLE=0 leaves the disruption out. Exit codes: 0
// the rule held, 1 it was broken, 2 the case couldn't run.
#include "Fleet.h"
#include "Upstream.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <memory>

namespace review {
namespace {

constexpr std::size_t UpstreamCount = 6;
constexpr std::size_t ClientsPerEntry = 2;
constexpr std::chrono::milliseconds RequestPause{50};
constexpr const char *ServiceName = "press-orders";
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

Value makeItem(const std::string &type, const std::string &name,
               Object members) {
  Object metadata{{"version", "00000001"}};
  if (!name.empty())
    metadata.emplace_back("name", name);
  return Object{{"resource_type", type},
                {"metadata", std::move(metadata)},
                {"spec", std::move(members)}};
}

Value makeConfig() {
  List resources;
  resources.push_back(makeItem("routes", "r-release",
                               {{"hostname", "press.example"},
                                {"path_prefix", "/release/"},
                                {"route_type", "unsafe"},
                                {"timeout_ms", 1000},
                                {"target_latency_ms", 400},
                                {"priority", 1},
                                {"service", ServiceName},
                                {"max_attempts", 2}}));
  resources.push_back(makeItem("services", ServiceName,
                               {{"health_path", "/health"},
                                {"max_connections", 120},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"sharded", true},
                                {"warm_s", 5.0},
                                {"grants", "heartbeat"}}));
  resources.push_back(makeItem("limits", "",
                               {{"max_header_bytes", 16384},
                                {"max_body_bytes", 67108864},
                                {"header_timeout_ms", 3000},
                                {"idle_timeout_ms", 15000}}));
  return Object{{"upsert", Object{{"resources", std::move(resources)}}},
                {"remove", Object{{"routes", List{}}}}};
}

/// Sends requests for random keys, one after the other, on kept connections.
class Client {
public:
  Client(const Fleet &fleet, std::size_t entry, int number, Record &record)
      : At(fleet.client(entry)), Number(number), Log(record),
        Thread([this] { run(); }) {}
  ~Client() {
    IsStopping = true;
    Thread.join();
  }
  int sent() const { return Sent; }
  int served() const { return Served; }

private:
  void run() {
    Socket connection;
    std::uint32_t key = static_cast<std::uint32_t>(Number) * 7919;
    while (!IsStopping) {
      std::this_thread::sleep_for(RequestPause);
      key = (key * 75 + 74) % 65537;
      const std::string attempt =
          "a" + std::to_string(Number) + "-" + std::to_string(++Sent);
      if (!connection.isOpen())
        connection = Socket::connect(At, 1000ms);
      connection.setTimeout(1500ms);
      const auto sent = Clock::now();
      std::optional<HttpMessage> reply;
      if (connection.isOpen() &&
          connection.send(formatRequest(
              "POST", "/release/" + std::to_string(key % KeyCount),
              {{"Host", "press.example"},
               {"Attempt-Id", attempt},
               {"Deadline-Ms", "1000"},
               {"Shard-Key", std::to_string(key % KeyCount)}},
              "order " + attempt)))
        reply = connection.read();
      const bool IsClosing = !reply || reply->header("connection") == "close";
      if (IsClosing)
        connection.close();
      if (reply && reply->status() == 200)
        ++Served;
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
          Clock::now() - sent);
      Log.add("client: " + attempt + " key " + std::to_string(key % KeyCount) +
              " at " + At.text() + ": " +
              (reply ? "status " + std::to_string(reply->status())
                     : std::string("no answer")) +
              " after " + std::to_string(ms.count()) + " ms");
    }
  }

  Address At;
  int Number;
  Record &Log;
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};
  std::atomic<bool> IsStopping{false};
  std::thread Thread;
};

/// A deployment that serves.
class Deployment {
public:
  Deployment(const std::string &program, const std::filesystem::path &folder,
             Record &record)
      : Log(record), Processes(program, folder, record) {}

  /// Returns false if it doesn't serve in time.
  bool start() {
    if (!Processes.hasStarted() ||
        !Processes.order("PATCH", "/v1/config", makeConfig(), 200))
      return false;
    Log.add("operator: the configuration is acknowledged");
    for (std::size_t i = 0; i < UpstreamCount; ++i)
      Upstreams.push_back(std::make_unique<Upstream>(
          UpstreamConfig{"i-" + std::to_string(i), ServiceName,
                         Fleet::zoneOf(i), Processes.upstream(i),
                         Processes.controls()},
          Log));
    const auto end = Clock::now() + 25s;
    const auto IsServing = [&] {
      std::size_t keys = 0;
      for (const auto &upstream : Upstreams)
        keys += upstream->countHeld();
      return keys == KeyCount && Processes.isReady(0) && Processes.isReady(1);
    };
    while (!IsServing()) {
      if (Clock::now() > end)
        return false;
      std::this_thread::sleep_for(50ms);
    }
    Log.add("platform: all keys are held, the entries are ready");
    for (std::size_t i = 0; i < EntryCount * ClientsPerEntry; ++i)
      Clients.push_back(std::make_unique<Client>(Processes, i % EntryCount,
                                                 static_cast<int>(i), Log));
    std::this_thread::sleep_for(3s);
    return true;
  }

  void logRequests() {
    int sent = 0;
    int served = 0;
    for (const auto &client : Clients) {
      sent += client->sent();
      served += client->served();
    }
    Log.add("summary: " + std::to_string(served) + " of " +
            std::to_string(sent) + " requests answered with 200");
  }

  Record &Log;
  Fleet Processes;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  std::vector<std::unique_ptr<Client>> Clients;
};

/// Another writer sends a heartbeat whose bytes can't be read, once in each
/// heartbeat interval, to one core after the other.
int runUnreadable(Deployment &deployment, bool trouble) {
  constexpr std::size_t Bytes = 65536;
  constexpr int MaxEnds = 3;
  // A CBOR map whose first name never ends. Without trouble only its start.
  std::string body = "\xA1";
  body.append(trouble ? Bytes - 1 : 15, '\x7F');
  const auto controls = deployment.Processes.controls();
  const auto end = Clock::now() + 30s;
  std::size_t broken = 0;
  for (std::size_t n = 0; Clock::now() < end && broken * 2 < CoreCount; ++n) {
    const auto &to = controls[n % CoreCount];
    const auto reply = callOnce(to, "PUT", "/v1/instances/i-other",
                                {{"Content-Type", "application/cbor"}}, body);
    deployment.Log.add(
        "other writer: unreadable heartbeat of " + std::to_string(body.size()) +
        " bytes to " + to.text() + ": " +
        (reply ? "status " + std::to_string(reply->status()) : "no answer"));
    std::this_thread::sleep_for(HeartbeatInterval);
    broken = 0;
    for (const auto &[name, ends] : deployment.Processes.ends())
      if (name.starts_with("core") && ends >= MaxEnds)
        ++broken;
  }
  for (const auto &[name, ends] : deployment.Processes.ends())
    deployment.Log.add("summary: " + name + " has ended by itself " +
                       std::to_string(ends) + " times");
  return broken * 2 >= CoreCount ? Broken : Held;
}

/// Another writer sends one heartbeat in the name of an upstream in which
/// fields are missing.
int runIncomplete(Deployment &deployment, bool trouble) {
  constexpr std::chrono::milliseconds MaxOverlap{500};
  auto &upstreams = deployment.Upstreams;
  const auto &named = *upstreams.front();
  if (trouble) {
    const Value heartbeat =
        Object{{"address", named.config().At.text()},
               {"born", named.born()},
               {"info", Object{{"service", named.config().Service},
                               {"zone", named.config().Zone},
                               {"slots", 3}}},
               {"status",
                Object{{"state", "draining"}, {"seq", named.sequence() + 1}}}};
    const auto reply =
        callOnce(deployment.Processes.controls()[0], "PUT",
                 "/v1/instances/" + named.config().Id,
                 {{"Content-Type", "application/cbor"}}, writeCbor(heartbeat));
    deployment.Log.add(
        "other writer: heartbeat without version, warmup_left_ms, holds and "
        "released in the name of " +
        named.config().Id + ": " +
        (reply ? "status " + std::to_string(reply->status()) : "no answer"));
  }
  // When two upstreams began to hold a key at the same time.
  std::vector<Clock::time_point> since(KeyCount, Clock::time_point::max());
  std::vector<bool> IsCounted(KeyCount);
  std::size_t broken = 0;
  auto longest = Clock::duration::zero();
  const auto end = Clock::now() + 15s;
  while (Clock::now() < end) {
    const auto now = Clock::now();
    std::vector<int> holders(KeyCount);
    for (const auto &upstream : upstreams) {
      const auto fences = upstream->holds();
      for (std::uint32_t i = 0; i < KeyCount; ++i)
        holders[i] += fences[i] != 0 ? 1 : 0;
    }
    for (std::uint32_t i = 0; i < KeyCount; ++i) {
      if (holders[i] < 2) {
        since[i] = Clock::time_point::max();
        continue;
      }
      since[i] = std::min(since[i], now);
      longest = std::max(longest, now - since[i]);
      if (now - since[i] > MaxOverlap && !IsCounted[i]) {
        IsCounted[i] = true;
        if (++broken == 1)
          deployment.Log.add("judge: key " + std::to_string(i) +
                             " has had two holders for over 500 ms");
      }
    }
    std::this_thread::sleep_for(10ms);
  }
  deployment.Log.add(
      "summary: " + std::to_string(broken) +
      " keys had two holders for over 500 ms, the longest for " +
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(longest)
              .count()) +
      " ms");
  return broken > 0 ? Broken : Held;
}

int run(const std::string &name, const std::string &program,
        const std::string &folder, const std::string &path) {
  const char *setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::strcmp(setting, "0") != 0;
  Record record(path);
  record.add("test: " + name + (trouble ? "" : " without the disruption"));
  Deployment deployment(program, folder, record);
  int result = NotRun;
  if (!deployment.start())
    record.add("test: the deployment doesn't serve");
  else if (name == "unreadable")
    result = runUnreadable(deployment, trouble);
  else if (name == "incomplete")
    result = runIncomplete(deployment, trouble);
  deployment.logRequests();
  record.add("test: exit code " + std::to_string(result));
  return result;
}

} // namespace
} // namespace review

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 5) {
    std::cerr << "usage: standin CASE DAEMON FOLDER RECORD\n";
    return 2;
  }
  return review::run(argv[1], argv[2], argv[3], argv[4]);
}

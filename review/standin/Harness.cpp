// Implements the stand-ins of the review.
#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const Clock::time_point Begin = Clock::now();
constexpr std::int64_t CallLimitMs = 1000;
constexpr std::uint32_t KeyCount = 65536;
constexpr const char *Daemon = "target/apps/magnoliamilld/magnoliamilld";

sockaddr_in makeAddress(const std::string &host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

int listenOn(const std::string &host, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = makeAddress(host, port);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&address),
             sizeof address) != 0 ||
      ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

std::string toLower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

bool waitForFd(int fd, short events, std::int64_t until) {
  const auto left = std::max<std::int64_t>(until - now(), 0);
  pollfd entry{fd, events, 0};
  return ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

} // namespace

std::int64_t now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Begin)
      .count();
}

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void pause(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool hasTrouble() {
  const char *text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

Record::Record(const std::string &folder) : File(folder + "/record.txt") {}

void Record::line(const std::string &text) {
  const std::scoped_lock lock(Mutex);
  File << now() << " ms  " << text << "\n" << std::flush;
}

std::string Message::header(const std::string &name) const {
  const auto it = Headers.find(toLower(name));
  return it == Headers.end() ? std::string() : it->second;
}

Connection::~Connection() { close(); }

void Connection::close() {
  if (Fd >= 0)
    ::close(Fd);
  Fd = -1;
}

void Connection::reset() {
  const linger none{1, 0};
  if (Fd >= 0)
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
  close();
}

bool Connection::write(const std::string &bytes) const {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto n =
        ::send(Fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

bool Connection::fill(std::int64_t until) {
  std::vector<char> part(std::size_t{256} * 1024);
  if (Fd < 0 || !waitForFd(Fd, POLLIN, until))
    return false;
  const auto n = ::recv(Fd, part.data(), part.size(), 0);
  if (n <= 0)
    return false;
  Buffer.append(part.data(), static_cast<std::size_t>(n));
  return true;
}

bool Connection::readMessage(Message &message, std::int64_t limit) {
  const auto until = now() + limit;
  std::size_t end = 0;
  while ((end = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(until))
      return false;
  std::istringstream head(Buffer.substr(0, end));
  Buffer.erase(0, end + 4);
  message = {};
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  std::string start;
  first >> start;
  if (start.starts_with("HTTP/")) {
    first >> message.Status;
  } else {
    message.Method = start;
    first >> message.Target;
  }
  while (std::getline(head, line)) {
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
      value.pop_back();
    message.Headers[toLower(line.substr(0, colon))] = value;
  }
  const auto written = message.header("content-length");
  const std::size_t size = written.empty() ? 0 : std::stoull(written);
  while (Buffer.size() < size)
    if (!fill(until))
      return false;
  message.Body = Buffer.substr(0, size);
  Buffer.erase(0, size);
  return true;
}

int connectTo(const std::string &host, int port, std::int64_t limit) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto address = makeAddress(host, port);
  const auto until = now() + limit;
  int failure = 0;
  socklen_t size = sizeof failure;
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&address),
                sizeof address) != 0 &&
      (errno != EINPROGRESS || !waitForFd(fd, POLLOUT, until) ||
       ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 ||
       failure != 0)) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

std::string formatRequest(const std::string &method, const std::string &target,
                          const HeaderList &headers, const std::string &body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto &[name, value] : headers)
    text.append(name).append(": ").append(value).append("\r\n");
  if (!body.empty() || method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

Message call(const std::string &host, int port, const std::string &method,
             const std::string &target, const HeaderList &headers,
             const std::string &body, std::int64_t limit) {
  Message answer;
  const auto until = now() + limit;
  Connection connection(connectTo(host, port, limit));
  if (!connection.isOpen() ||
      !connection.write(formatRequest(method, target, headers, body)) ||
      !connection.readMessage(answer, std::max<std::int64_t>(until - now(), 1)))
    return {};
  return answer;
}

Deployment::Deployment(const DeploymentOptions &options, Record &record)
    : Options(options), Log(record) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "mill-review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  Folder = pattern;
  // Ports below the range from which outgoing connections get theirs.
  for (int i = 0; i < 200 && BasePort == 0; ++i) {
    const int base =
        20000 + static_cast<int>((::getpid() * 7 + i * 13) % 1100) * 10;
    bool free = true;
    for (int offset = 0; offset < 4; ++offset)
      for (int host = 0; host < std::max(Options.Cores, Options.Entries);
           ++host)
        for (const auto &name : {coreHost(host), entryHost(host)}) {
          const int fd = listenOn(name, base + offset);
          free = free && fd >= 0;
          if (fd >= 0)
            ::close(fd);
        }
    if (free)
      BasePort = base;
  }
  if (BasePort == 0)
    throw std::runtime_error("no free ports");
  for (int i = 0; i < Options.Cores; ++i)
    startCore(i, true);
  for (int i = 0; i < Options.Entries; ++i)
    startEntry(i);
}

Deployment::~Deployment() {
  for (const auto &[name, pid] : Pids) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder);
}

std::string Deployment::coreHost(int i) {
  return "127.0.91." + std::to_string(i + 1);
}

std::string Deployment::entryHost(int i) {
  return "127.0.92." + std::to_string(i + 1);
}

Json Deployment::commonSettings(const std::string &name,
                                const std::string &host) const {
  Json seeds = Json::array();
  for (int i = 0; i < std::min(Options.Cores, 3); ++i)
    seeds.push_back(coreHost(i) + ":" + std::to_string(controlPort()));
  return {{"vm", name},
          {"data_centre", "mittelland-a"},
          {"host", host},
          {"link_port", BasePort},
          {"seeds", seeds},
          {"stop_grace_s", 6},
          {"heartbeat_interval_ms", 1500}};
}

void Deployment::startCore(int i, bool first) {
  const std::string name = "core" + std::to_string(i);
  Json settings = commonSettings(name, coreHost(i));
  settings["duty"] = "core";
  settings["control_listen"] =
      coreHost(i) + ":" + std::to_string(controlPort());
  settings["data_folder"] = Folder + "/" + name;
  settings["control_body"] = "cbor";
  settings["found"] = first;
  settings["loss_tolerance"] = 1;
  std::filesystem::create_directories(Folder + "/" + name);
  run(name, settings);
}

void Deployment::startEntry(int i) {
  const std::string name = "entry" + std::to_string(i);
  Json settings = commonSettings(name, entryHost(i));
  settings["duty"] = "entry";
  settings["client_listen"] = entryHost(i) + ":" + std::to_string(clientPort());
  settings["readiness_listen"] =
      entryHost(i) + ":" + std::to_string(readyPort());
  settings["target_drain_ms"] = 2000;
  settings["link_mbps"] = 1000.0;
  run(name, settings);
}

void Deployment::run(const std::string &name, const Json &settings) {
  const std::string path = Folder + "/" + name + ".json";
  std::ofstream(path) << settings.dump(1) << "\n";
  const std::string log = Folder + "/" + name + ".log";
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(127);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(Daemon, Daemon, "--settings", path.c_str(),
            static_cast<char *>(nullptr));
    ::_exit(127);
  }
  if (pid < 0)
    throw std::runtime_error("cannot start a process");
  Pids[name] = pid;
  Log.line("process " + name + " started");
}

void Deployment::signal(const std::string &name, int number) {
  Log.line("signal " + std::to_string(number) + " to " + name);
  ::kill(Pids.at(name), number);
}

void Deployment::kill(const std::string &name) {
  signal(name, SIGKILL);
  ::waitpid(Pids.at(name), nullptr, 0);
  Pids.erase(name);
}

bool Deployment::hasEnded(const std::string &name, int &status) {
  const auto it = Pids.find(name);
  if (it == Pids.end() || ::waitpid(it->second, &status, WNOHANG) <= 0)
    return false;
  Pids.erase(it);
  return true;
}

std::string Deployment::logOf(const std::string &name) const {
  std::ifstream file(Folder + "/" + name + ".log");
  return {std::istreambuf_iterator<char>(file), {}};
}

bool Deployment::isReady(int entry) const {
  return call(entryHost(entry), readyPort(), "GET", "/v1/readiness",
              {{"Host", "ready"}}, "", CallLimitMs)
             .Status == 200;
}

bool Deployment::waitUntilReady(std::int64_t limit) const {
  const auto until = now() + limit;
  while (now() < until) {
    bool all = true;
    for (int i = 0; i < Options.Entries; ++i)
      all = all && isReady(i);
    if (all)
      return true;
    pause(50);
  }
  return false;
}

Message Deployment::control(const std::string &method, const std::string &path,
                            const Json &body, int first,
                            std::int64_t limit) const {
  std::vector<std::uint8_t> bytes;
  if (!body.is_null())
    bytes = Json::to_cbor(body);
  const auto until = now() + limit;
  for (int i = first; now() < until; ++i) {
    auto answer =
        call(coreHost(i % Options.Cores), controlPort(), method, path,
             {{"Host", "control"}, {"Content-Type", "application/cbor"}},
             std::string(bytes.begin(), bytes.end()), CallLimitMs);
    const bool again = answer.Status == 0 || answer.Status >= 500 ||
                       answer.Status == 408 || answer.Status == 429;
    if (!again)
      return answer;
    pause(50);
  }
  return {};
}

Json makeRoute(const std::string &name, const std::string &version,
               const std::string &prefix, const std::string &type,
               const std::string &service, int timeout) {
  return {{"resource_type", "routes"},
          {"metadata", {{"name", name}, {"version", version}}},
          {"spec",
           {{"hostname", "barn.example"},
            {"path_prefix", prefix},
            {"route_type", type},
            {"timeout_ms", timeout},
            {"target_latency_ms", 250},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2}}}};
}

Json makeService(const std::string &name, const std::string &version,
                 bool keyed) {
  Json spec = {{"health_path", "/health"},
               {"max_connections", 130},
               {"protocol", "h1"},
               {"tls", false}};
  if (keyed) {
    spec["sharded"] = true;
    spec["warm_s"] = 2.0;
    spec["grants"] = "heartbeat";
  }
  return {{"resource_type", "services"},
          {"metadata", {{"name", name}, {"version", version}}},
          {"spec", spec}};
}

Json makeLimits(const std::string &version, std::int64_t bytes) {
  return {{"resource_type", "limits"},
          {"metadata", {{"version", version}}},
          {"spec",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", bytes},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

Upstream::Upstream(UpstreamOptions options, const Deployment &fleet,
                   Record &record)
    : Options(std::move(options)), Fleet(fleet), Log(record), Born(wallMs()) {
  Listener = listenOn(Options.Host, 0);
  if (Listener < 0)
    throw std::runtime_error("an upstream can't listen");
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&address), &size);
  Port = ntohs(address.sin_port);
  Threads.emplace_back([this] { accept(); });
  Threads.emplace_back([this] { heartbeat(); });
}

Upstream::~Upstream() {
  IsEnding = true;
  for (auto &thread : Threads)
    thread.join();
  for (auto &thread : Serving)
    thread.join();
  ::close(Listener);
}

std::string Upstream::address() const {
  return Options.Host + ":" + std::to_string(Port);
}

void Upstream::accept() {
  while (!IsEnding) {
    if (!waitForFd(Listener, POLLIN, now() + 100))
      continue;
    const int fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0)
      Serving.emplace_back([this, fd] { serve(fd); });
  }
}

void Upstream::serve(int fd) {
  Connection connection(fd);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  Message request;
  while (!IsEnding) {
    if (!waitForFd(fd, POLLIN, now() + 100))
      continue;
    if (!connection.readMessage(request, 10000))
      return;
    const auto attempt = request.header("attempt-id");
    if (request.Target == "/health") {
      connection.write("HTTP/1.1 200 OK\r\nInstance-Id: " + Options.Id +
                       "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    std::uint32_t key = 0;
    if (const auto text = request.header("shard-key"); !text.empty())
      key = static_cast<std::uint32_t>(std::stoul(text));
    const auto expected = request.header("expected-instance");
    const bool foreign = !expected.empty() && expected != Options.Id;
    if (foreign || (Options.IsKeyed && !holdsKey(key))) {
      Log.line("upstream " + Options.Id + " rejects " + attempt + " with 421");
      connection.write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " +
                       attempt + "\r\nInstance-Id: " + Options.Id +
                       "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::scoped_lock lock(Mutex);
      ++Runs[attempt];
      RunTimes.push_back(now());
    }
    Log.line("upstream " + Options.Id + " runs " + attempt + " for key " +
             std::to_string(key) + ", " + std::to_string(request.Body.size()) +
             " bytes");
    pause(Options.WorkMs);
    const std::string body = Options.Id + " " + attempt;
    std::string head = "HTTP/1.1 200 OK\r\n";
    head.append("Attempt-Id: ").append(attempt);
    head.append("\r\nUpstream-Signature: s.").append(attempt);
    head.append("\r\nContent-Length: ").append(std::to_string(body.size()));
    if (!connection.write(head.append("\r\n\r\n").append(body)))
      return;
  }
}

Json Upstream::composeHeartbeat() {
  const std::scoped_lock lock(Mutex);
  if (now() >= HeldUntil)
    Held.clear();
  Json holds = Json::array();
  for (const auto &row : Held)
    holds.push_back({row.First, row.Last, row.Fence});
  Json released = Json::array();
  for (const auto &row : Released)
    released.push_back({row.First, row.Last, "5c0e7a21d94b36f8"});
  Json beat = {
      {"address", address()},
      {"born", Born},
      {"info",
       {{"service", Options.Service},
        {"version", "v1"},
        {"zone", "mittelland-a"},
        {"slots", 3}}},
      {"status",
       {{"state", "ready"}, {"seq", ++Sequence}, {"warmup_left_ms", 0}}}};
  if (Options.IsKeyed) {
    beat["holds"] = holds;
    beat["released"] = released;
  }
  return beat;
}

void Upstream::heartbeat() {
  while (!IsEnding) {
    if (IsSilent) {
      pause(10);
      continue;
    }
    const auto bytes = Json::to_cbor(composeHeartbeat());
    const auto sent = now();
    const auto answer =
        call(Deployment::coreHost(NextCore % Fleet.options().Cores),
             Fleet.controlPort(), "PUT", "/v1/instances/" + Options.Id,
             {{"Host", "control"}, {"Content-Type", "application/cbor"}},
             std::string(bytes.begin(), bytes.end()), CallLimitMs);
    std::int64_t wait = 100;
    if (answer.Status / 100 == 2 && answer.Body.size() <= 4096) {
      takeAnswer(answer, sent);
      const std::scoped_lock lock(Mutex);
      if (Released.empty())
        wait = Options.HeartbeatMs;
    } else {
      ++NextCore;
    }
    for (const auto until = now() + wait; now() < until && !IsEnding;)
      pause(
          std::min<std::int64_t>(20, std::max<std::int64_t>(until - now(), 1)));
  }
}

void Upstream::takeAnswer(const Message &answer, std::int64_t sent) {
  const Json body = Json::from_cbor(answer.Body, true, false);
  const std::scoped_lock lock(Mutex);
  Released.clear();
  if (!body.is_object() || !body.contains("holds")) {
    Log.line("upstream " + Options.Id + " got an answer without holds");
    return;
  }
  std::vector<KeyRow> held;
  for (const auto &row : body["holds"])
    held.push_back({row[0], row[1], row[2]});
  for (const auto &old : Held) {
    const bool kept = std::ranges::any_of(held, [&](const KeyRow &row) {
      return row.First <= old.First && old.Last <= row.Last;
    });
    if (!kept)
      Released.push_back(old);
  }
  std::uint32_t keys = 0;
  for (const auto &row : held)
    keys += row.Last - row.First + 1;
  Held = std::move(held);
  HeldUntil = sent + body["hold_ms"].get<std::int64_t>();
  Log.line("upstream " + Options.Id + " holds " + std::to_string(keys) +
           " keys until " + std::to_string(HeldUntil) + " ms");
}

std::int64_t Upstream::leave(std::int64_t limit) {
  IsSilent = true;
  const auto answer = Fleet.control("DELETE", "/v1/instances/" + Options.Id,
                                    {{"born", Born}}, 0, limit);
  Log.line("upstream " + Options.Id + " leaves, status " +
           std::to_string(answer.Status));
  return answer.Status == 200 ? now() : -1;
}

std::string Upstream::takeHeartbeat() {
  const auto bytes = Json::to_cbor(composeHeartbeat());
  return {bytes.begin(), bytes.end()};
}

std::vector<std::int64_t> Upstream::runTimes() const {
  const std::scoped_lock lock(Mutex);
  return RunTimes;
}

std::vector<KeyRow> Upstream::holds() const {
  const std::scoped_lock lock(Mutex);
  if (now() >= HeldUntil)
    return {};
  return Held;
}

bool Upstream::holdsKey(std::uint32_t key) const {
  return std::ranges::any_of(holds(), [key](const KeyRow &row) {
    return row.First <= key && key <= row.Last;
  });
}

std::map<std::string, int> Upstream::runs() const {
  const std::scoped_lock lock(Mutex);
  return Runs;
}

int sendItems(const Deployment &fleet, Record &record, const Json &items) {
  const Json body = {{"upsert", {{"resources", items}}},
                     {"remove", {{"routes", Json::array()}}}};
  const auto answer = fleet.control("PATCH", "/v1/config", body, 0, 15000);
  record.line("operator: " + std::to_string(items.size()) + " items, status " +
              std::to_string(answer.Status));
  return answer.Status;
}

bool sendFirstConfig(const Deployment &fleet, Record &record) {
  return sendItems(
             fleet, record,
             {makeService("barn", "00000001", true),
              makeRoute("r-book", "00000001", "/book/", "unsafe", "barn", 1500),
              makeLimits("00000001", 67108864)}) == 200;
}

bool waitUntilHeld(const std::vector<const Upstream *> &upstreams,
                   std::int64_t limit) {
  for (const auto until = now() + limit; now() < until; pause(50)) {
    std::uint32_t keys = 0;
    for (const auto *upstream : upstreams)
      for (const auto &row : upstream->holds())
        keys += row.Last - row.First + 1;
    if (keys == KeyCount)
      return true;
  }
  return false;
}

HeaderList requestHeaders(const std::string &attempt, std::uint32_t key,
                          int deadline) {
  return {{"Host", "barn.example"},
          {"Attempt-Id", attempt},
          {"Deadline-Ms", std::to_string(deadline)},
          {"Shard-Key", std::to_string(key)}};
}

HoldWatch::HoldWatch(std::vector<const Upstream *> upstreams)
    : Upstreams(std::move(upstreams)), Since(KeyCount, -1) {}

void HoldWatch::look() {
  std::vector<std::uint8_t> holders(KeyCount);
  for (const auto *upstream : Upstreams)
    for (const auto &row : upstream->holds())
      for (auto key = row.First; key <= row.Last && key < KeyCount; ++key)
        ++holders[key];
  const auto at = now();
  std::uint32_t doubly = 0;
  for (std::uint32_t key = 0; key < KeyCount; ++key) {
    if (holders[key] < 2) {
      Since[key] = -1;
      continue;
    }
    ++doubly;
    if (Since[key] < 0)
      Since[key] = at;
    Longest = std::max(Longest, at - Since[key]);
  }
  Most = std::max(Most, doubly);
}

} // namespace review

// Serves each connection on a thread of its own.
#include "Upstream.h"

#include <algorithm>
#include <poll.h>
#include <sys/socket.h>

namespace standin {
namespace {

using namespace std::chrono_literals;

constexpr auto HeartbeatInterval = 870ms;
/// While keys were released and that is not acknowledged.
constexpr auto ReleaseInterval = 100ms;
constexpr auto DrainTime = 2000ms;
constexpr auto LittleLonger = 500ms;
constexpr auto IdleTime = 10s;
/// Sequence numbers that one call takes, so that another writer's number lies
/// between those of two calls.
constexpr std::uint64_t SequenceStep = 1000;

} // namespace

Upstream::Upstream(UpstreamConfig config, Fleet &fleet, Record &record)
    : Config(std::move(config)), System(fleet), Out(record),
      Listener(listenOn("127.0.0.1")), Port(portOf(Listener)),
      Born(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())) {
  Acceptor = std::thread([this] { accept(); });
  Heart = std::thread([this] { beat(); });
}

Upstream::~Upstream() {
  IsEnding = true;
  Heart.join();
  Acceptor.join();
  for (auto &server : Servers)
    server.join();
}

void Upstream::accept() {
  while (!IsEnding) {
    pollfd entry{Listener.get(), POLLIN, 0};
    if (::poll(&entry, 1, 50) <= 0)
      continue;
    Socket socket(::accept4(Listener.get(), nullptr, nullptr,
                            SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket.isOpen())
      continue;
    const std::lock_guard lock(ServersMutex);
    Servers.emplace_back(
        [this, open = std::move(socket)]() mutable { serve(std::move(open)); });
  }
}

void Upstream::serve(Socket socket) {
  std::string buffer;
  auto idle = Clock::now() + IdleTime;
  while (!IsEnding && Clock::now() < idle) {
    pollfd entry{socket.get(), POLLIN, 0};
    if (buffer.empty() && ::poll(&entry, 1, 50) <= 0)
      continue;
    const auto request = readMessage(socket, buffer, Clock::now() + IdleTime);
    if (!request || !sendAll(socket, answer(*request), Clock::now() + IdleTime))
      return;
    idle = Clock::now() + IdleTime;
  }
}

std::string Upstream::answer(const Message &request) {
  const auto attempt = request.field("attempt-id");
  const std::string echo = "Attempt-Id: " + attempt + "\r\n";
  if (request.Start.starts_with("GET /health "))
    return std::string(IsDraining ? "HTTP/1.1 503 Leaving\r\n"
                                  : "HTTP/1.1 200 OK\r\n") +
           "Instance-Id: " + Config.Id + "\r\nContent-Length: 0\r\n\r\n";
  const auto expected = request.field("expected-instance");
  const auto key = static_cast<std::uint32_t>(
      std::strtoul(request.field("shard-key").c_str(), nullptr, 10));
  if ((!expected.empty() && expected != Config.Id) ||
      (Config.IsKeyed && !holds(key))) {
    Out.write("upstream " + Config.Id + " rejects " + attempt);
    return "HTTP/1.1 421 Misdirected\r\n" + echo +
           "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  Out.write("upstream " + Config.Id + " runs " + attempt + " with a body of " +
            std::to_string(request.Body.size()) + " bytes");
  std::this_thread::sleep_for(Config.Work);
  return "HTTP/1.1 200 OK\r\n" + echo + "Upstream-Signature: " + Config.Id +
         "." + attempt + "\r\nContent-Length: 2\r\n\r\nok";
}

bool Upstream::holds(std::uint32_t key) {
  const std::lock_guard lock(Mutex);
  return Clock::now() < HoldEnd &&
         std::ranges::any_of(Held, [key](const Range &range) {
           return range.First <= key && key <= range.Last;
         });
}

std::size_t Upstream::countKeys() {
  const std::lock_guard lock(Mutex);
  std::size_t keys = 0;
  if (Clock::now() < HoldEnd)
    for (const Range &range : Held)
      keys += range.Last - range.First + 1;
  return keys;
}

std::string Upstream::composeHeartbeat(const std::string &zone,
                                       std::uint64_t ahead) {
  const std::lock_guard lock(Mutex);
  if (Clock::now() >= HoldEnd)
    Held.clear();
  std::vector<Value> held;
  for (const Range &range : Held)
    held.push_back(Value::list({range.First, range.Last, range.Fence}));
  std::vector<Value> released;
  for (const Range &range : Released)
    released.push_back(
        Value::list({range.First, range.Last, "5c0e7a21d94b36f8"}));
  return encode(Value::map(
      {{"address", "127.0.0.1:" + std::to_string(Port)},
       {"born", Born},
       {"info", Value::map({{"service", Config.Service},
                            {"version", "v1"},
                            {"zone", zone},
                            {"slots", 3}})},
       {"status", Value::map({{"state", IsDraining ? "draining" : "ready"},
                              {"seq", Sequence + ahead},
                              {"warmup_left_ms", 0}})},
       {"holds", Value::list(std::move(held))},
       {"released", Value::list(std::move(released))}}));
}

bool Upstream::sendHeartbeat() {
  {
    const std::lock_guard lock(Mutex);
    Sequence += SequenceStep;
  }
  const bool drains = IsDraining;
  const auto sent = Clock::now();
  if (++Beats == HeldBack) {
    const auto body = composeHeartbeat(Config.Zone, 0);
    {
      const std::lock_guard lock(Mutex);
      LateBody = body;
      LateSince = sent;
      Out.write("upstream " + Config.Id + " sends a heartbeat with " +
                std::to_string(Held.size()) + " rows held, it is held back");
    }
    std::this_thread::sleep_for(1s);
    ++NextCore;
    return false;
  }
  const auto reply =
      call(System.control(NextCore % System.countCores()), "PUT",
           "/v1/instances/" + Config.Id, composeHeartbeat(Config.Zone, 0), 1s);
  constexpr std::size_t MaxAnswerBytes = 4096;
  if (!reply || reply->status() / 100 != 2 ||
      reply->Body.size() > MaxAnswerBytes) {
    ++NextCore;
    return false;
  }
  IsKnown = true;
  if (drains && !IsDrainAcknowledged.exchange(true))
    Out.write("upstream " + Config.Id + " has its leaving acknowledged");
  if (const auto value = decode(reply->Body)) {
    applyGrants(*value, sent);
    const std::lock_guard lock(Mutex);
    if (const Value *next = value->find("heartbeat_url"))
      Leader = next->Text;
  }
  ++Answers;
  return true;
}

void Upstream::waitForAnswer() {
  const auto answers = Answers.load();
  while (Answers == answers)
    std::this_thread::sleep_for(5ms);
}

std::string Upstream::leader() {
  const std::lock_guard lock(Mutex);
  return Leader;
}

bool Upstream::deliverLate(std::size_t core) {
  std::string body;
  Time since;
  {
    const std::lock_guard lock(Mutex);
    body = LateBody;
    since = LateSince;
  }
  if (body.empty())
    return false;
  const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - since);
  const auto answer =
      call(System.control(core), "PUT", "/v1/instances/" + Config.Id, body, 1s);
  Out.write("the heartbeat of " + Config.Id +
            " that was held back arrives after " +
            std::to_string(late.count()) + " ms, answer " +
            (answer ? std::to_string(answer->status()) : "none"));
  return true;
}

bool Upstream::signOffFirst(std::chrono::seconds limit) {
  IsSilent = true;
  const auto body = encode(Value::map({{"born", Born}}));
  const auto answer =
      System.callControl("DELETE", "/v1/instances/" + Config.Id, body, limit);
  Out.write("upstream " + Config.Id +
            " signs off and goes on serving, answer " +
            (answer ? std::to_string(answer->status()) : "none"));
  return answer && answer->status() / 100 == 2;
}

std::vector<bool> Upstream::listKeys() {
  constexpr std::size_t AllKeys = 65536;
  std::vector<bool> keys(AllKeys);
  const std::lock_guard lock(Mutex);
  if (Clock::now() < HoldEnd)
    for (const Range &range : Held)
      for (auto key = range.First; key <= range.Last && key < AllKeys; ++key)
        keys[key] = true;
  return keys;
}

void Upstream::applyGrants(const Value &answer, Time sent) {
  const std::lock_guard lock(Mutex);
  Released.clear();
  const Value *rows = answer.find("holds");
  const Value *time = answer.find("hold_ms");
  if (!rows || !time)
    return;
  std::vector<Range> granted;
  for (const Value &row : rows->Items)
    if (row.Items.size() >= 3)
      granted.push_back(
          {row.Items[0].Number, row.Items[1].Number, row.Items[2].Number});
  for (const Range &old : Held)
    if (std::ranges::none_of(granted, [&](const Range &range) {
          return range.First <= old.First && old.Last <= range.Last;
        }))
      Released.push_back(old);
  Held = std::move(granted);
  HoldEnd = sent + std::chrono::milliseconds(time->Number);
}

void Upstream::beat() {
  auto next = Clock::now();
  while (!IsEnding) {
    std::this_thread::sleep_for(10ms);
    if (IsSilent ||
        (Clock::now() < next && !(IsDraining && !IsDrainAcknowledged)))
      continue;
    const bool answered = sendHeartbeat();
    bool hurried = !answered;
    {
      const std::lock_guard lock(Mutex);
      hurried = hurried || !Released.empty();
    }
    next = Clock::now() + (hurried ? ReleaseInterval : HeartbeatInterval);
    if (!answered)
      std::this_thread::sleep_for(ReleaseInterval);
  }
}

bool Upstream::leave(std::chrono::seconds limit) {
  Out.write("upstream " + Config.Id + " reports that it leaves");
  IsDraining = true;
  const auto end = Clock::now() + limit;
  while (!IsDrainAcknowledged && Clock::now() < end)
    std::this_thread::sleep_for(20ms);
  if (IsDrainAcknowledged)
    std::this_thread::sleep_for(DrainTime + LittleLonger);
  const auto body = encode(Value::map({{"born", Born}}));
  const auto signedoff =
      System.callControl("DELETE", "/v1/instances/" + Config.Id, body, 3s);
  Out.write("upstream " + Config.Id + " signs off, answer " +
            (signedoff ? std::to_string(signedoff->status()) : "none"));
  IsEnding = true;
  return IsDrainAcknowledged;
}

} // namespace standin

// Heartbeats, holds and requests of an upstream.
#include "Upstream.h"

#include <algorithm>
#include <cerrno>
#include <memory>
#include <sys/socket.h>

namespace review {
namespace {

constexpr std::chrono::milliseconds WorkTime{20};
/// An answer that comes later acknowledges nothing.
constexpr std::chrono::milliseconds AnswerTime{1000};
constexpr std::size_t MaxAnswerBytes = 4096;
constexpr std::chrono::milliseconds ReleaseInterval{80};

std::int64_t readWallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Calls \p handle with the first and last key of each run of equal entries
/// that aren't 0.
template <typename Fences, typename Handler>
void forEachRun(const Fences &fences, Handler handle) {
  for (std::uint32_t i = 0; i < KeyCount;) {
    std::uint32_t end = i + 1;
    while (end < KeyCount && fences[end] == fences[i])
      ++end;
    if (fences[i] != 0)
      handle(i, end - 1);
    i = end;
  }
}

} // namespace

Upstream::Upstream(UpstreamConfig config, Record &record)
    : Config(std::move(config)), Log(record), Born(readWallMs()),
      Listener(Socket::listen(Config.At)) {
  Acceptor = std::thread([this] { acceptConnections(); });
  Beater = std::thread([this] { sendHeartbeats(); });
}

Upstream::~Upstream() {
  IsStopping = true;
  Listener.shutdown();
  Acceptor.join();
  Beater.join();
  for (auto &thread : Threads)
    thread.join();
}

std::array<std::int64_t, KeyCount> Upstream::holds() {
  const std::lock_guard lock(Mutex);
  dropExpired();
  return Fences;
}

std::size_t Upstream::countHeld() {
  const auto fences = holds();
  return KeyCount -
         static_cast<std::size_t>(std::ranges::count(fences, std::int64_t{0}));
}

void Upstream::dropExpired() {
  if (Clock::now() >= HoldEnd)
    Fences.fill(0);
}

void Upstream::sendHeartbeats() {
  while (!IsStopping) {
    // After a failure the next core is called at once.
    for (std::size_t n = 0; n < Config.Cores.size() && !IsStopping; ++n)
      if (sendHeartbeat())
        break;
    bool IsUrgent = false;
    {
      const std::lock_guard lock(Mutex);
      IsUrgent = IsReleasing;
    }
    const auto end =
        Clock::now() + (IsUrgent ? ReleaseInterval : HeartbeatInterval);
    while (!IsStopping && Clock::now() < end)
      std::this_thread::sleep_for(10ms);
  }
}

bool Upstream::sendHeartbeat() {
  const auto to = NextAddress.value_or(Config.Cores[NextCore]);
  const auto body = writeCbor(describe());
  const auto sent = Clock::now();
  const auto reply =
      callOnce(to, "PUT", "/v1/instances/" + Config.Id,
               {{"Content-Type", "application/cbor"}}, body, AnswerTime);
  const bool IsAcknowledged = reply && reply->status() / 100 == 2 &&
                              reply->Body.size() <= MaxAnswerBytes &&
                              Clock::now() - sent <= AnswerTime;
  if (!IsAcknowledged) {
    NextAddress.reset();
    NextCore = (NextCore + 1) % Config.Cores.size();
    Log.add(Config.Id + ": heartbeat not acknowledged by " + to.text() +
            (reply ? ", status " + std::to_string(reply->status())
                   : ", no answer"));
    return false;
  }
  const auto answer = readCbor(reply->Body);
  if (!answer)
    return true;
  if (const auto *next = answer->find("heartbeat_url");
      next && !next->text().empty()) {
    const auto text = next->text();
    const auto colon = text.rfind(':');
    NextAddress =
        Address{text.substr(0, colon),
                static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
  }
  applyGrants(*answer, sent);
  return true;
}

Value Upstream::describe() {
  const std::lock_guard lock(Mutex);
  dropExpired();
  auto held = Fences;
  for (std::uint32_t i = 0; i < KeyCount; ++i)
    if (held[i] == 0 && Running[i] > 0)
      held[i] = SeenFences[i];
  List rows;
  forEachRun(held, [&](std::uint32_t first, std::uint32_t last) {
    rows.emplace_back(
        List{std::int64_t{first}, std::int64_t{last}, held[first]});
  });
  List released;
  for (const auto &[first, last] : Released)
    released.emplace_back(List{std::int64_t{first}, std::int64_t{last},
                               "handover-" + std::to_string(first)});
  return Object{
      {"address", Config.At.text()},
      {"born", Born},
      {"info", Object{{"service", Config.Service},
                      {"version", "v1"},
                      {"zone", Config.Zone},
                      {"slots", 3}}},
      {"status",
       Object{{"state", "ready"}, {"seq", ++Sequence}, {"warmup_left_ms", 0}}},
      {"holds", std::move(rows)},
      {"released", std::move(released)}};
}

void Upstream::applyGrants(const Value &answer, Clock::time_point sent) {
  const std::lock_guard lock(Mutex);
  Released.clear();
  IsReleasing = false;
  const auto *rows = answer.find("holds");
  const auto *time = answer.find("hold_ms");
  if (!rows || !time)
    return;
  dropExpired();
  std::array<std::int64_t, KeyCount> next{};
  for (const auto &row : rows->items()) {
    const auto &fields = row.items();
    if (fields.size() != 4)
      continue;
    const auto first = static_cast<std::uint32_t>(fields[0].number());
    const auto last = static_cast<std::uint32_t>(fields[1].number());
    const auto fence = fields[2].number();
    if (first > last || last >= KeyCount ||
        std::any_of(SeenFences.begin() + first, SeenFences.begin() + last + 1,
                    [&](std::int64_t seen) { return seen > fence; }))
      continue;
    for (auto i = first; i <= last; ++i)
      next[i] = SeenFences[i] = fence;
  }
  std::array<std::int64_t, KeyCount> given{};
  for (std::uint32_t i = 0; i < KeyCount; ++i)
    given[i] = Fences[i] != 0 && next[i] == 0 ? 1 : 0;
  forEachRun(given, [&](std::uint32_t first, std::uint32_t last) {
    Released.emplace_back(first, last);
    IsReleasing = true;
  });
  Fences = next;
  HoldEnd = sent + std::chrono::milliseconds(time->number());
}

void Upstream::acceptConnections() {
  while (!IsStopping) {
    auto connection = Listener.accept();
    if (!connection.isOpen() || IsStopping)
      continue;
    const std::lock_guard lock(Mutex);
    Threads.emplace_back(
        [this, owned = std::make_shared<Socket>(std::move(connection))] {
          serve(std::move(*owned));
        });
  }
}

void Upstream::serve(Socket connection) {
  connection.setTimeout(200ms);
  auto last = Clock::now();
  while (!IsStopping && Clock::now() - last < 10s) {
    const auto request = connection.read();
    if (!request) {
      char byte = 0;
      const auto n = ::recv(connection.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        return;
      continue;
    }
    last = Clock::now();
    if (!connection.send(answer(*request)))
      return;
  }
}

std::string Upstream::answer(const HttpMessage &request) {
  if (request.target() == "/health")
    return formatAnswer(200, {{"Instance-Id", Config.Id}}, "");
  const auto attempt = request.header("attempt-id");
  const auto refuse = [&](int status) {
    Log.add(Config.Id + ": " + attempt + " not run, " + std::to_string(status));
    return formatAnswer(status,
                        {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, "");
  };
  const auto expected = request.header("expected-instance");
  if (!expected.empty() && expected != Config.Id)
    return refuse(421);
  const auto key =
      static_cast<std::uint32_t>(std::stoul("0" + request.header("shard-key")));
  {
    const std::lock_guard lock(Mutex);
    dropExpired();
    if (key >= KeyCount || Fences[key] == 0)
      return refuse(421);
    ++Running[key];
  }
  ++Runs;
  Log.add(Config.Id + ": runs " + attempt + " key " + std::to_string(key));
  std::this_thread::sleep_for(WorkTime);
  {
    const std::lock_guard lock(Mutex);
    --Running[key];
  }
  return formatAnswer(
      200,
      {{"Attempt-Id", attempt}, {"Upstream-Signature", "signed-" + attempt}},
      "done by " + Config.Id);
}

} // namespace review

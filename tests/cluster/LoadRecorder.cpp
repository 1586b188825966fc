// Runs the callers as threads that make blocking calls.
#include "cluster/LoadRecorder.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace magnoliamill::tests {
namespace {

constexpr std::size_t CallersPerKey = 2;
constexpr auto PauseBetweenCalls = std::chrono::milliseconds(20);
constexpr const char *DeadlineMs = "3000";
constexpr auto CallTimeout = std::chrono::milliseconds(3500);

CallOutcome classifyOutcome(const HttpResponse &answer) {
  if (answer.outcome() == "answered")
    return CallOutcome::Answered;
  if (answer.outcome() == "not-run")
    return CallOutcome::NotRun;
  return answer.Status == 0 ? CallOutcome::NoResponse : CallOutcome::Unknown;
}

std::string readMember(const boost::json::value &body, const char *name) {
  const auto *object = body.if_object();
  const auto *value = object ? object->if_contains(name) : nullptr;
  return value && value->is_string() ? std::string(value->as_string())
                                     : std::string();
}

} // namespace

std::int64_t readMonotonicUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

CallRecord recordCall(LocalCluster &cluster, const std::string &entry,
                      const std::string &service, CallRecord call,
                      HttpHeaders headers) {
  call.Entry = entry;
  call.Path = (call.IsPost ? "/release/" : "/level/") + call.Id;
  headers["Mill-Key"] = call.Key;
  headers["Mill-Deadline-Ms"] = DeadlineMs;
  call.StartUs = readMonotonicUs();
  auto answer = cluster.request(entry, call.IsPost ? "POST" : "GET", service,
                                call.Path, headers, CallTimeout);
  call.EndUs = readMonotonicUs();
  call.Outcome = classifyOutcome(answer);
  call.Status = answer.Status;
  call.Code = answer.Headers["mill-code"];
  boost::system::error_code ec;
  auto body = boost::json::parse(answer.Body, ec);
  if (!ec) {
    call.AnsweredKey = readMember(body, "key");
    call.AnsweredRequest = readMember(body, "request");
  }
  return call;
}

LoadRecorder::LoadRecorder(LocalCluster &cluster, LoadPlan plan)
    : Cluster(cluster), Plan(std::move(plan)), StartUs(readMonotonicUs()) {
  for (std::size_t i = 0; i < Plan.Keys.size() * CallersPerKey; ++i)
    Callers.emplace_back([this, i] { runCaller(i); });
}

LoadRecorder::~LoadRecorder() { stop(); }

void LoadRecorder::excludeEntry(const std::string &entry) {
  std::lock_guard guard(Lock);
  ExcludedEntries.insert(entry);
}

std::vector<CallRecord> LoadRecorder::stop() {
  Stopping = true;
  for (auto &caller : Callers)
    caller.join();
  Callers.clear();
  return Calls;
}

bool LoadRecorder::hasAnswers(std::int64_t SinceUs, std::size_t count) {
  std::lock_guard guard(Lock);
  return std::ranges::all_of(Plan.Keys, [&](const std::string &key) {
    auto answers = std::ranges::count_if(Calls, [&](const CallRecord &call) {
      return call.Key == key && call.Outcome == CallOutcome::Answered &&
             call.StartUs >= SinceUs;
    });
    return static_cast<std::size_t>(answers) >= count;
  });
}

std::string LoadRecorder::chooseEntry(std::size_t caller) {
  std::lock_guard guard(Lock);
  std::size_t first = caller / CallersPerKey + caller % CallersPerKey;
  for (std::size_t i = 0; i < Plan.Entries.size(); ++i) {
    const auto &entry = Plan.Entries[(first + i) % Plan.Entries.size()];
    if (!ExcludedEntries.contains(entry))
      return entry;
  }
  return Plan.Entries.front();
}

void LoadRecorder::runCaller(std::size_t caller) {
  for (std::size_t i = 0; !Stopping; ++i) {
    CallRecord call;
    call.Id = fmt::format("load-{}-{}", caller, i);
    call.Key = Plan.Keys[caller / CallersPerKey];
    call.IsPost = i % 2 == 0;
    call =
        recordCall(Cluster, chooseEntry(caller), Plan.Service, std::move(call));
    {
      std::lock_guard guard(Lock);
      Calls.push_back(std::move(call));
    }
    std::this_thread::sleep_for(PauseBetweenCalls);
  }
}

} // namespace magnoliamill::tests

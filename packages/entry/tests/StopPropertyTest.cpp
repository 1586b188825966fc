// Plays drawn loads of a VM that stops, with the link's rules but without a
// network. A longer run: RC_PARAMS="seed=N max_success=20000".
#include "dispatch/StopAdmission.h"
#include "entry/LinkBudget.h"
#include "entry/LinkPacer.h"
#include "entry/OwedAnswers.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <ostream>
#include <rapidcheck.h>
#include <vector>

using namespace magnoliamill;
using namespace magnoliamill::entry;
using namespace std::chrono_literals;

namespace {

const base::MonoTime StopsAt{1h};
constexpr int LargeObjectiveDivisor = 3;
constexpr double BytesPerMegabit = 1e6 / 8;

struct RouteLoad {
  int TimeoutMs = 0;
  int Bytes = 0;
};

struct RequestLoad {
  /// From the SIGTERM.
  int SentMs = 0;
  int WorkMs = 0;
  std::size_t Route = 0;
};

struct Load {
  int GraceMs = 0;
  int LinkMbps = 0;
  int ObjectiveMs = 0;
  std::vector<RouteLoad> Routes;
  std::vector<RequestLoad> Requests;
};

std::ostream &operator<<(std::ostream &out, const Load &load) {
  out << "grace " << load.GraceMs << " ms, link " << load.LinkMbps
      << " Mbit/s, objective " << load.ObjectiveMs << " ms";
  for (const auto &route : load.Routes)
    out << "; route: limit " << route.TimeoutMs << " ms, " << route.Bytes
        << " bytes";
  for (const auto &request : load.Requests)
    out << "\n  sent " << request.SentMs << " ms, works " << request.WorkMs
        << " ms, route " << request.Route;
  return out;
}

rc::Gen<Load> genLoad() {
  using rc::gen::inRange;
  return rc::gen::mapcat(inRange(2'000, 30'001), [](int grace) {
    const auto route = rc::gen::build<RouteLoad>(
        rc::gen::set(&RouteLoad::TimeoutMs, inRange(200, 2 * grace)),
        rc::gen::set(&RouteLoad::Bytes, inRange(100, 400'000)));
    const auto request = rc::gen::build<RequestLoad>(
        rc::gen::set(&RequestLoad::SentMs, inRange(-3'000, grace)),
        rc::gen::set(&RequestLoad::WorkMs, inRange(1, 2 * grace)),
        rc::gen::set(&RequestLoad::Route, inRange<std::size_t>(0, 3)));
    return rc::gen::build<Load>(
        rc::gen::set(&Load::GraceMs, rc::gen::just(grace)),
        rc::gen::set(&Load::LinkMbps, rc::gen::element(0, 1, 2, 5, 20)),
        rc::gen::set(&Load::ObjectiveMs, inRange(200, 5'000)),
        rc::gen::set(&Load::Routes,
                     rc::gen::container<std::vector<RouteLoad>>(3, route)),
        rc::gen::set(&Load::Requests,
                     rc::gen::container<std::vector<RequestLoad>>(request)));
  });
}

struct Outcome {
  int Admitted = 0;
  int Refused = 0;
  /// Refused although they fit.
  int RefusedWrongly = 0;
  /// Owed, but cut off by the end of the stop.
  int Lost = 0;
};

/// A request in progress.
struct Running {
  base::MonoTime Deadline;
  base::MonoTime AnsweredAt;
  double Bytes = 0;
  double Delivered = 0;
  bool HasHead = false;
  /// The VM owes a complete answer.
  bool IsOwed = false;
};

class StoppingVm {
public:
  explicit StoppingVm(const Load &load)
      : Settings(load), Pacer(load.LinkMbps * BytesPerMegabit),
        Budget(load.LinkMbps * BytesPerMegabit) {
    for (std::size_t i = 0; i < load.Routes.size(); ++i)
      Budget.recordSize(std::to_string(i), load.Routes[i].Bytes);
    Events.emplace(StopsAt, [this] { stop(); });
    for (const auto &request : load.Requests)
      Events.emplace(StopsAt + std::chrono::milliseconds(request.SentMs),
                     [this, request] { onRequest(request); });
  }

  Outcome play() {
    while (!Events.empty()) {
      auto event = Events.extract(Events.begin());
      Now = event.key();
      if (Stop.isStopping() && Now > Stop.endsAt())
        break;
      event.mapped()();
    }
    for (const auto &[id, request] : Requests)
      Result.Lost += request.IsOwed ? 1 : 0;
    return Result;
  }

private:
  void stop() {
    Stop.begin(Now, std::chrono::milliseconds(Settings.GraceMs));
    Pacer.expedite();
    // Before, they were admitted without regard to a stop.
    for (auto &[id, request] : Requests)
      request.IsOwed = latestDelivery(listOwed(), dueBy(request), Pacer) +
                           dispatch::StopAdmission::AnswerMargin <=
                       Stop.endsAt();
  }

  void onRequest(const RequestLoad &load) {
    const auto &route = Settings.Routes[load.Route];
    const auto name = std::to_string(load.Route);
    Running request;
    request.Deadline = Now + std::chrono::milliseconds(route.TimeoutMs);
    request.AnsweredAt = std::min(Now + std::chrono::milliseconds(load.WorkMs),
                                  request.Deadline);
    request.Bytes = load.WorkMs < route.TimeoutMs ? route.Bytes : 0;
    if (Stop.isStopping() && !admits(request.Deadline, route.Bytes))
      return;
    const bool IsLarge = Budget.expectedTime(name) > 20ms;
    const auto objective = std::chrono::milliseconds(Settings.ObjectiveMs);
    if (backlog(IsLarge) >
        (IsLarge ? objective / LargeObjectiveDivisor : objective))
      return;
    Budget.reserve(name, Now);
    request.IsOwed = Stop.isStopping();
    const int id = NextId++;
    Expected[id] = route.Bytes;
    Events.emplace(request.AnsweredAt, [this, id] { onAnswer(id); });
    Requests.emplace(id, request);
  }

  base::Duration backlog(bool large) {
    double owed = 0;
    for (const auto &[id, request] : Requests)
      if (request.HasHead)
        owed += request.Bytes - request.Delivered;
    const auto all = Budget.backlog(Now);
    return large ? std::max({all, Budget.largeBacklog(Now),
                             Pacer.transferTime(owed)})
                 : all;
  }

  bool admits(base::MonoTime deadline, double bytes) {
    auto delivery = base::Duration::zero();
    if (bytes > LargeAnswerBytes) {
      auto answers = listOwed();
      answers.push_back({deadline, bytes});
      delivery = latestDelivery(answers, deadline, Pacer) - deadline;
    }
    const bool IsAdmitted = Stop.admits(deadline, delivery);
    const bool fits = playWorstCase(deadline, bytes) +
                          dispatch::StopAdmission::AnswerMargin <=
                      Stop.endsAt();
    ++(IsAdmitted ? Result.Admitted : Result.Refused);
    if (!IsAdmitted && fits)
      ++Result.RefusedWrongly;
    return IsAdmitted;
  }

  /// The end of a link that is sent all answers as late as possible, and those
  /// due after \p deadline at that time.
  base::MonoTime playWorstCase(base::MonoTime deadline, double bytes) const {
    if (bytes <= LargeAnswerBytes)
      return deadline;
    std::multimap<base::MonoTime, double> sent;
    for (const auto &answer : listOwed())
      sent.emplace(std::min(answer.DueBy, deadline), answer.Bytes);
    sent.emplace(deadline, bytes);
    auto end = Now;
    for (const auto &[at, size] : sent)
      end = std::max(end, at) + Pacer.transferTime(size);
    return std::max(end, deadline);
  }

  base::MonoTime dueBy(const Running &request) const {
    return request.HasHead ? Now : request.Deadline;
  }

  std::vector<OwedAnswer> listOwed() const {
    std::vector<OwedAnswer> answers;
    for (const auto &[id, request] : Requests)
      answers.push_back({dueBy(request), request.HasHead
                                             ? request.Bytes - request.Delivered
                                             : Expected.at(id)});
    return answers;
  }

  void onAnswer(int id) {
    auto &request = Requests.at(id);
    request.HasHead = true;
    deliver(id);
  }

  void deliver(int id) {
    auto &request = Requests.at(id);
    const double left = request.Bytes - request.Delivered;
    const double n =
        request.Bytes > LargeAnswerBytes
            ? std::min<double>(static_cast<double>(Pacer.partBytes()), left)
            : left;
    request.Delivered += n;
    if (n == left) {
      Requests.erase(id);
      return;
    }
    Events.emplace(Now + Pacer.delayAfter(static_cast<std::size_t>(n), Now),
                   [this, id] { deliver(id); });
  }

  const Load &Settings;
  LinkPacer Pacer;
  LinkBudget Budget;
  dispatch::StopAdmission Stop;
  base::MonoTime Now;
  std::multimap<base::MonoTime, std::function<void()>> Events;
  std::map<int, Running> Requests;
  std::map<int, double> Expected;
  int NextId = 0;
  Outcome Result;
};

Outcome play(const Load &load) { return StoppingVm(load).play(); }

} // namespace

TEST_CASE("A VM that stops passes on each answer that it owes, and refuses no "
          "request that fits") {
  SECTION("an answer that waits for its target delays a later one") {
    const auto outcome =
        play({.GraceMs = 3074,
              .LinkMbps = 1,
              .ObjectiveMs = 200,
              .Routes = {{252, 57'345}, {3317, 49'153}, {2668, 143'361}},
              .Requests = {{-2743, 3316, 1}, {-2094, 2667, 2}, {322, 251, 0}}});
    CHECK(outcome.Lost == 0);
  }
  SECTION("answers that are passed on before its own are not counted") {
    const auto outcome = play(
        {.GraceMs = 6640,
         .LinkMbps = 5,
         .ObjectiveMs = 300,
         .Routes = {{3685, 70'383}},
         .Requests = {
             {-1107, 3311, 0}, {-750, 2954, 0}, {83, 2121, 0}, {2288, 1, 0}}});
    CHECK(outcome.RefusedWrongly == 0);
  }
  SECTION("drawn loads") {
    CHECK(rc::check([] {
      const auto outcome = play(*genLoad());
      RC_CLASSIFY(outcome.Admitted > 0, "admitted");
      RC_CLASSIFY(outcome.Refused > 0, "refused");
      RC_ASSERT(outcome.Lost == 0);
      RC_ASSERT(outcome.RefusedWrongly == 0);
    }));
  }
}

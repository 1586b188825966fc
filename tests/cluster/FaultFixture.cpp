// Starts the cluster and the load, injects faults and checks the history.
#include "cluster/FaultFixture.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <fmt/format.h>
#include <stdexcept>
#include <thread>

namespace magnoliamill::tests {
namespace {

constexpr const char *QueriedVm = "a1";
constexpr int KeyCount = 8;
constexpr auto FreezeDuration = std::chrono::seconds(3);
// Number of answered requests that each key must get before and after a fault.
constexpr std::size_t AnswersPerKey = 15;

} // namespace

FaultFixture::FaultFixture(const std::string &name, std::uint16_t port,
                           const std::vector<std::string> &TargetFlags)
    : Cluster(name, port,
              {{"a1", "dc-a", true},
               {"a2", "dc-a", false},
               {"a3", "dc-a", false}}) {
  Cluster.bootstrap();
  Cluster.createTeam();
  auto set = Cluster.set(QueriedVm, "/services/barnstock",
                         R"({"keyed":true,"slots":16,"data_centres":["dc-a"]})",
                         0, "service");
  if (set.Status != 200)
    throw std::runtime_error("cannot create the service: " + set.Body);
  for (const char *target : {"barn-1", "barn-2", "barn-3"})
    Cluster.startTarget({target, "barnstock", "dc-a", TargetFlags});
  waitUntil("each target owns slots and has a dispatcher", [this] {
    auto all = readTargets();
    return all.size() == 3 &&
           std::ranges::all_of(all, [](const TargetLine &line) {
             return !line.Dispatcher.empty() && line.OwnedSlots > 0;
           });
  });
  LoadPlan load{"barnstock", {"a1", "a2", "a3"}, {}};
  for (int i = 0; i < KeyCount; ++i)
    load.Keys.push_back(fmt::format("barn-{}", i));
  Load = std::make_unique<LoadRecorder>(Cluster, load);
  awaitAnswers("before the fault");
}

std::vector<FaultFixture::TargetLine> FaultFixture::readTargets() {
  boost::system::error_code ec;
  auto body = boost::json::parse(
      Cluster.api(QueriedVm, "/targets?service=barnstock").Body, ec);
  if (ec || !body.is_object() || !body.as_object().contains("targets"))
    return {};
  std::vector<TargetLine> lines;
  for (const auto &it : body.at("targets").as_array())
    lines.push_back({std::string(it.at("name").as_string()),
                     std::string(it.at("dispatcher").as_string()),
                     it.at("owned_slots").to_number<int>()});
  return lines;
}

std::string FaultFixture::dispatcherOf(const std::string &target) {
  for (const auto &line : readTargets())
    if (line.Name == target)
      return line.Dispatcher;
  return {};
}

std::string FaultFixture::findNonLeaderDispatcher() {
  auto leading = leader();
  std::string found;
  for (const auto &line : readTargets())
    if (found.empty() || found == leading)
      found = line.Dispatcher;
  return found;
}

std::string FaultFixture::leader() {
  return Cluster.leaderOf("data_centre_group", QueriedVm);
}

void FaultFixture::awaitAnswers(const std::string &when) {
  std::int64_t since = readMonotonicUs();
  if (FromUs == 0)
    FromUs = since;
  waitUntil("answers " + when,
            [this, since] { return Load->hasAnswers(since, AnswersPerKey); });
}

void FaultFixture::kill(const std::string &process) {
  Load->excludeEntry(process);
  Stops[process] = readMonotonicUs();
  Cluster.vm(process).signal(SIGKILL);
  Cluster.vm(process).wait();
}

void FaultFixture::freeze(const std::string &process) {
  Load->excludeEntry(process);
  Stops[process] = readMonotonicUs();
  Cluster.vm(process).freeze();
  std::this_thread::sleep_for(FreezeDuration);
  Cluster.vm(process).signal(SIGCONT);
}

HistoryReport FaultFixture::stopAndCheck() {
  std::int64_t end = readMonotonicUs();
  History history{Load->stop(), Cluster.runs(), Stops};
  return checkHistory(history, FromUs, end);
}

} // namespace magnoliamill::tests

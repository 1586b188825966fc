// Tests settings and membership with real processes under concurrent changes
// and failures: lost leaders, lost disks, long absences, damaged logs.
#include "cluster/LocalCluster.h"
#include "consensus/tests/Linearizability.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <map>
#include <optional>

using namespace magnoliamill::tests;
using magnoliamill::consensus::tests::LinearizabilityChecker;
using magnoliamill::consensus::tests::Operation;
using magnoliamill::consensus::tests::OperationKind;

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds InForceLimit = seconds(6);
constexpr milliseconds FailoverLimit = seconds(2);
constexpr std::uint64_t VersionConflict = 4005;
constexpr std::uint64_t NoQuorum = 4009;
constexpr std::uint64_t ChangeOutcomeUnknown = 4010;

const std::string ServiceValue =
    R"({"keyed":true,"slots":4,"data_centres":["dc-a"]})";
const std::string ActiveState = R"({"state":"active"})";

std::int64_t nowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::uint64_t readNumber(const HttpResponse &answer, const char *name) {
  boost::system::error_code ec;
  auto body = json::parse(answer.Body, ec);
  if (ec || !body.is_object() || !body.as_object().contains(name))
    return 0;
  return body.at(name).to_number<std::uint64_t>();
}

std::string targetPath(const std::string &name) {
  return "/targets/barnstock/" + name;
}

/// Sends a change, and repeats it with the same change id until it is accepted
/// or refused with a conflict (409).
HttpResponse setUntilResolved(LocalCluster &cluster, const std::string &vm,
                              const std::string &path, const std::string &value,
                              std::uint64_t expected, const std::string &id) {
  HttpResponse answer;
  waitUntil("the change " + id + " has an outcome", [&] {
    answer = cluster.set(vm, path, value, expected, id);
    return answer.Status == 200 || answer.Status == 409;
  });
  return answer;
}

/// The replica that reports itself as leader of the settings group.
std::string settingsLeader(LocalCluster &cluster) {
  std::string leader;
  waitUntil("the settings group has a leader", [&] {
    for (const char *vm : {"a1", "a2", "a3"})
      if (cluster.leaderOf("settings_group", vm) == vm)
        leader = vm;
    return !leader.empty();
  });
  return leader;
}

/// The incarnation of \p vm in \p list, which is "voters" or "learners",
/// according to \p QueriedVm; empty when \p vm is not in it.
std::optional<std::uint64_t> incarnationOf(LocalCluster &cluster,
                                           const std::string &QueriedVm,
                                           const char *list,
                                           const std::string &vm) {
  boost::system::error_code ec;
  auto body = json::parse(cluster.api(QueriedVm, "/members").Body, ec);
  if (ec || !body.is_object() || !body.as_object().contains("settings_group"))
    return std::nullopt;
  const auto &group = body.at("settings_group").as_object();
  const auto &members = group.at("members");
  if (!members.is_object())
    return std::nullopt;
  for (const auto &replica : members.at(list).as_array())
    if (replica.at("vm").as_string() == vm)
      return replica.at("incarnation").to_number<std::uint64_t>();
  return std::nullopt;
}

void requireInForce(LocalCluster &cluster, const std::string &path,
                    std::uint64_t version,
                    const std::vector<std::string> &vms) {
  for (const auto &vm : vms)
    waitUntil(
        fmt::format("{} is in force at {}", path, vm),
        [&] { return readNumber(cluster.get(vm, path), "version") == version; },
        InForceLimit);
}

/// The version of each confirmed change, by path.
using Confirmed = std::map<std::string, std::uint64_t>;

void requireAll(LocalCluster &cluster, const Confirmed &confirmed,
                const std::vector<std::string> &vms) {
  for (const auto &[path, version] : confirmed)
    requireInForce(cluster, path, version, vms);
}

/// Sets \p count new targets, named after \p prefix, one after the other.
Confirmed addTargets(LocalCluster &cluster, const std::string &vm,
                     const std::string &prefix, int count) {
  Confirmed out;
  for (int n = 0; n < count; ++n) {
    auto path = targetPath(fmt::format("{}-{}", prefix, n));
    auto answer = setUntilResolved(cluster, vm, path, ActiveState, 0,
                                   fmt::format("{}-{}", prefix, n));
    REQUIRE(answer.Status == 200);
    out[path] = readNumber(answer, "version");
  }
  return out;
}

std::vector<VmPlan> makeThreeDiskPlan() {
  return {{"a1", "dc-a", true},
          {"a2", "dc-a", true},
          {"a3", "dc-a", true},
          {"a4", "dc-a", false}};
}

const std::vector<std::string> AllVms{"a1", "a2", "a3", "a4"};

std::vector<std::string> allVmsExcept(const std::string &without) {
  auto out = AllVms;
  std::erase(out, without);
  return out;
}

void startWithService(LocalCluster &cluster) {
  cluster.bootstrap();
  cluster.createTeam();
  REQUIRE(setUntilResolved(cluster, "a1", "/services/barnstock", ServiceValue,
                           0, "service")
              .Status == 200);
}

} // namespace

TEST_CASE("Concurrent changes expect the same version", "[settings-faults]") {
  LocalCluster cluster("settings-race", 23000, makeThreeDiskPlan());
  startWithService(cluster);
  constexpr int Rounds = 40;
  std::vector<Operation> history;
  std::uint64_t version = 0;
  for (int round = 0; round < Rounds; ++round) {
    auto run = [&](const std::string &vm, const char *state) {
      Operation op;
      op.Kind = OperationKind::CompareAndSet;
      op.Expected = static_cast<int>(version);
      op.Start = nowUs();
      auto answer =
          setUntilResolved(cluster, vm, targetPath("raced"),
                           fmt::format(R"({{"state":"{}"}})", state), version,
                           fmt::format("race-{}-{}", round, vm));
      op.End = nowUs();
      op.Answer = answer.Status == 200 ? 1 : 0;
      op.Value = static_cast<int>(readNumber(answer, "version"));
      return std::pair(op, answer);
    };
    auto first = std::async(std::launch::async, run,
                            AllVms[static_cast<unsigned>(round) % 4], "active");
    auto second =
        std::async(std::launch::async, run,
                   AllVms[static_cast<unsigned>(round + 1) % 4], "leaving");
    auto one = first.get();
    auto two = second.get();
    REQUIRE(*one.first.Answer + *two.first.Answer == 1);
    auto &won = *one.first.Answer == 1 ? one : two;
    auto &lost = *one.first.Answer == 1 ? two : one;
    REQUIRE(readNumber(lost.second, "code") == VersionConflict);
    REQUIRE(readNumber(lost.second, "current_version") ==
            readNumber(won.second, "version"));
    version = readNumber(won.second, "version");
    history.push_back(one.first);
    history.push_back(two.first);
  }
  REQUIRE(LinearizabilityChecker(history).isLinearizable());
  requireInForce(cluster, targetPath("raced"), version, AllVms);
}

TEST_CASE("A change that is sent again is applied once", "[settings-faults]") {
  LocalCluster cluster("settings-resend", 23020, makeThreeDiskPlan());
  startWithService(cluster);
  auto path = targetPath("once");
  auto first = setUntilResolved(cluster, "a4", path, ActiveState, 0, "once");
  REQUIRE(first.Status == 200);

  auto leader = settingsLeader(cluster);
  cluster.vm(leader).signal(SIGKILL);
  cluster.vm(leader).wait();
  auto again = setUntilResolved(cluster, "a4", path, ActiveState, 0, "once");
  REQUIRE(again.Body == first.Body);

  for (const auto &vm : allVmsExcept(leader)) {
    cluster.vm(vm).signal(SIGKILL);
    cluster.vm(vm).wait();
  }
  for (const auto &vm : AllVms)
    cluster.startVm(vm);
  for (const auto &vm : AllVms)
    waitUntil(vm + " is ready", [&] { return cluster.isReady(vm); });
  auto restarted =
      setUntilResolved(cluster, "a2", path, ActiveState, 0, "once");
  REQUIRE(restarted.Body == first.Body);
  requireInForce(cluster, path, readNumber(first, "version"), AllVms);
}

TEST_CASE("All VMs of a data centre are killed and restarted",
          "[settings-faults]") {
  LocalCluster cluster("settings-restart", 23180, makeThreeDiskPlan());
  startWithService(cluster);
  auto confirmed = addTargets(cluster, "a4", "before", 5);
  cluster.startTarget({"barn-1", "barnstock", "dc-a", {}});
  auto serves = [&] {
    return std::ranges::all_of(AllVms, [&](const std::string &vm) {
      return cluster
                 .request(vm, "GET", "barnstock", "/level",
                          {{"Mill-Key", "barn"}}, seconds(2))
                 .Status == 200;
    });
  };
  auto epoch = [&] {
    auto body = json::parse(cluster.api("a1", "/members").Body);
    return body.at("data_centre_group").at("epoch").to_number<std::uint64_t>();
  };
  waitUntil("all VMs serve", serves);
  auto before = epoch();
  for (const auto &vm : AllVms)
    cluster.vm(vm).signal(SIGKILL);
  for (const auto &vm : AllVms)
    cluster.vm(vm).wait();
  for (const auto &vm : AllVms)
    cluster.startVm(vm);
  for (const auto &vm : AllVms)
    waitUntil(vm + " is ready", [&] { return cluster.isReady(vm); });
  requireAll(cluster, confirmed, AllVms);
  waitUntil("all VMs serve again", serves);
  auto NewEpoch = epoch();
  REQUIRE(NewEpoch > before);
  // The group is not created anew while changes go on.
  addTargets(cluster, "a4", "after", 50);
  REQUIRE(serves());
  REQUIRE(epoch() == NewEpoch);
}

TEST_CASE("The settings leader is killed during a series of changes",
          "[settings-faults]") {
  LocalCluster cluster("settings-leader", 23040, makeThreeDiskPlan());
  startWithService(cluster);
  auto confirmed = addTargets(cluster, "a4", "before", 10);
  for (int round = 0; round < 2; ++round) {
    auto leader = settingsLeader(cluster);
    auto start = nowUs();
    cluster.vm(leader).signal(SIGKILL);
    cluster.vm(leader).wait();
    confirmed.merge(
        addTargets(cluster, "a4", fmt::format("round{}", round), 1));
    auto gap = milliseconds((nowUs() - start) / 1000);
    INFO("accepted again after " << gap.count() << " ms");
    CHECK(gap <= FailoverLimit);
    confirmed.merge(addTargets(cluster, "a4", fmt::format("more{}", round), 5));
    cluster.startVm(leader);
    waitUntil(leader + " is ready", [&] { return cluster.isReady(leader); });
  }
  requireAll(cluster, confirmed, AllVms);
}

TEST_CASE("A disk is lost, and then a second VM", "[settings-faults]") {
  LocalCluster cluster("settings-disk", 23060, makeThreeDiskPlan());
  startWithService(cluster);
  auto confirmed = addTargets(cluster, "a4", "before", 20);
  auto old = incarnationOf(cluster, "a1", "voters", "a2");
  REQUIRE(old);
  cluster.vm("a2").signal(SIGKILL);
  cluster.vm("a2").wait();
  std::filesystem::remove_all(cluster.dataFolder("a2"));
  confirmed.merge(addTargets(cluster, "a4", "without", 10));
  cluster.startVm("a2");
  waitUntil("a2 is a voter again, with a new incarnation", [&] {
    auto now = incarnationOf(cluster, "a1", "voters", "a2");
    return now && *now > *old;
  });
  waitUntil("a2 is ready", [&] { return cluster.isReady("a2"); });
  REQUIRE_FALSE(incarnationOf(cluster, "a1", "learners", "a2"));

  cluster.vm("a1").signal(SIGKILL);
  cluster.vm("a1").wait();
  confirmed.merge(addTargets(cluster, "a4", "after", 10));
  requireAll(cluster, confirmed, allVmsExcept("a1"));
}

TEST_CASE("A VM without a disk misses 300 changes", "[settings-faults]") {
  LocalCluster cluster("settings-absent", 23080, makeThreeDiskPlan());
  startWithService(cluster);
  auto path = targetPath("counted");
  auto version = readNumber(
      setUntilResolved(cluster, "a1", path, ActiveState, 0, "counted"),
      "version");
  cluster.vm("a4").signal(SIGKILL);
  cluster.vm("a4").wait();
  for (int n = 0; n < 300; ++n) {
    auto answer =
        setUntilResolved(cluster, AllVms[static_cast<unsigned>(n) % 3], path,
                         ActiveState, version, fmt::format("missed-{}", n));
    REQUIRE(answer.Status == 200);
    version = readNumber(answer, "version");
  }
  cluster.startVm("a4");
  waitUntil("a4 is ready", [&] {
    // Readiness is queried first: a value read after that must be up to date.
    bool ready = cluster.isReady("a4");
    auto answer = cluster.get("a4", path);
    if (answer.Status == 200)
      REQUIRE(readNumber(answer, "version") == version);
    return ready && answer.Status == 200;
  });
}

TEST_CASE("The status of a change names the VMs without it",
          "[settings-faults]") {
  LocalCluster cluster("settings-status", 23100, makeThreeDiskPlan());
  startWithService(cluster);
  cluster.vm("a4").freeze();
  auto answer = setUntilResolved(cluster, "a1", targetPath("x"), ActiveState, 0,
                                 "frozen-vm");
  REQUIRE(answer.Status == 200);
  auto status = [&] {
    auto got = cluster.api(
        "a1", fmt::format("/status?index={}", readNumber(answer, "index")));
    boost::system::error_code ec;
    auto body = json::parse(got.Body, ec);
    return ec || got.Status != 200 ? json::array{json::value("?")}
                                   : body.at("pending").as_array();
  };
  waitUntil(
      "only the frozen VM is pending",
      [&] { return status() == json::array{json::value("a4")}; }, InForceLimit);
  cluster.vm("a4").signal(SIGCONT);
  waitUntil(
      "no VM is pending", [&] { return status().empty(); }, InForceLimit);
  requireInForce(cluster, targetPath("x"), readNumber(answer, "version"),
                 AllVms);
}

TEST_CASE("Without a quorum changes are refused", "[settings-faults]") {
  LocalCluster cluster("settings-quorum", 23120, makeThreeDiskPlan());
  startWithService(cluster);
  // The leader and another replica are frozen. They may still process messages
  // that were sent to them before, once they resume.
  auto leader = settingsLeader(cluster);
  std::string second = leader == "a1" ? "a2" : "a1";
  std::string left = leader == "a3" || second == "a3" ? "a2" : "a3";
  cluster.vm(leader).freeze();
  cluster.vm(second).freeze();
  auto refused = std::map<std::string, std::uint64_t>();
  constexpr int Refusals = 8;
  std::vector<std::future<HttpResponse>> answers;
  answers.reserve(Refusals);
  for (int n = 0; n < Refusals; ++n)
    answers.push_back(std::async(std::launch::async, [&, n] {
      return cluster.set(n % 2 == 0 ? "a4" : left,
                         targetPath(fmt::format("refused-{}", n)), ActiveState,
                         0, fmt::format("refused-{}", n));
    }));
  for (int n = 0; n < Refusals; ++n) {
    auto answer = answers[static_cast<std::size_t>(n)].get();
    auto code = readNumber(answer, "code");
    INFO(answer.Body);
    CHECK((code == NoQuorum || code == ChangeOutcomeUnknown));
    refused[targetPath(fmt::format("refused-{}", n))] = code;
  }
  cluster.vm(leader).signal(SIGCONT);
  cluster.vm(second).signal(SIGCONT);
  auto confirmed = addTargets(cluster, "a4", "after", 3);
  requireAll(cluster, confirmed, AllVms);
  for (const auto &[path, code] : refused) {
    INFO(path << " was answered with " << code);
    if (code == NoQuorum)
      CHECK(cluster.get(leader, path).Status == 404);
  }
}

TEST_CASE("Access to settings", "[settings-faults]") {
  LocalCluster cluster("settings-access", 23140,
                       {{"a1", "dc-a", true}, {"a2", "dc-a", false}});
  startWithService(cluster);
  // A change takes up to some seconds to be in force on other VMs.
  waitUntil(
      "the service is in force at a2",
      [&] { return cluster.get("a2", "/services/barnstock").Status == 200; },
      InForceLimit);
  auto call = [&](const std::string &path, const std::string &token) {
    HttpHeaders headers;
    if (!token.empty())
      headers["Authorization"] = "Bearer " + token;
    return callHttp(cluster.httpPort("a2"), "GET", "/v1" + path, headers);
  };
  auto service = std::string("/settings/teams/roads/services/barnstock");
  REQUIRE(call(service, LocalCluster::TeamToken).Status == 200);
  REQUIRE(call(service, "").Status == 403);
  REQUIRE(call(service, "wrong").Status == 403);
  REQUIRE(call("/settings/teams/rivals/services/x", LocalCluster::TeamToken)
              .Status == 403);
  REQUIRE(call("/list/teams/rivals", LocalCluster::TeamToken).Status == 403);
  REQUIRE(call("/settings/admin/teams/roads", LocalCluster::TeamToken).Status ==
          403);
  auto refused = callHttp(
      cluster.httpPort("a2"), "PUT", "/v1/settings/teams/rivals/services/x",
      {{"Authorization", "Bearer " + LocalCluster::TeamToken},
       {"Mill-Change-Id", "foreign"}},
      R"({"value":{"keyed":false,"data_centres":["dc-a"]},"expected_version":0})");
  REQUIRE(refused.Status == 403);
  for (const char *path :
       {"/settings/admin/teams/roads", "/audit", "/watch?after=0"}) {
    auto shown = call(path, LocalCluster::AdminToken);
    REQUIRE(shown.Status == 200);
    REQUIRE(shown.Body.find("redacted") != std::string::npos);
    auto at = shown.Body.find("token_sha256");
    REQUIRE(at != std::string::npos);
    REQUIRE(shown.Body.substr(at, 40).find("redacted") != std::string::npos);
  }
}

TEST_CASE("A log damaged in the middle prevents the start",
          "[settings-faults]") {
  LocalCluster cluster("settings-damage", 23160, {{"a1", "dc-a", true}});
  startWithService(cluster);
  auto confirmed = addTargets(cluster, "a1", "before", 10);
  cluster.vm("a1").signal(SIGKILL);
  cluster.vm("a1").wait();
  auto log = cluster.dataFolder("a1") / "settings" / "log";
  auto size = std::filesystem::file_size(log);
  {
    std::fstream file(log, std::ios::in | std::ios::out | std::ios::binary);
    auto middle = static_cast<std::streamoff>(size / 2);
    file.seekg(middle);
    char c = static_cast<char>(file.get());
    file.seekp(middle);
    file.put(static_cast<char>(c ^ 0x55));
  }
  cluster.startVm("a1");
  REQUIRE(cluster.vm("a1").wait() != 0);
  std::ifstream out(cluster.folder() / "a1.log");
  std::string text(std::istreambuf_iterator<char>(out), {});
  REQUIRE(text.find("5002") != std::string::npos);
  REQUIRE(std::filesystem::file_size(log) == size);
}

// Tests a network partition between two data centres and its healing, and
// connections that stay open but lose all data.
#include "cluster/LocalCluster.h"
#include "peer/tests/TcpRelay.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fmt/format.h>
#include <map>

using namespace magnoliamill::tests;
using magnoliamill::peer::tests::TcpRelay;

namespace {

namespace json = boost::json;
using std::chrono::seconds;

// Longer than any lease, grant, election or report is valid.
constexpr std::chrono::milliseconds PartitionDuration = seconds(6);
constexpr std::chrono::milliseconds FailoverLimit = seconds(2);
constexpr std::uint64_t NoQuorum = 4009;
constexpr std::uint64_t ChangeOutcomeUnknown = 4010;
const std::string HostA = "127.0.0.2";
const std::string HostB = "127.0.0.3";
const std::vector<std::string> VmsA{"a1", "a2", "a3"};
const std::vector<std::string> VmsB{"b1", "b2", "b3"};

std::uint64_t readNumber(const HttpResponse &answer, const char *name) {
  boost::system::error_code ec;
  auto body = json::parse(answer.Body, ec);
  if (ec || !body.is_object() || !body.as_object().contains(name))
    return 0;
  return body.at(name).to_number<std::uint64_t>();
}

/// Two data centres of three VMs each; peers reach each VM through a relay.
class TwoDataCentres {
public:
  explicit TwoDataCentres(std::uint16_t port)
      : Cluster("centres-" + std::to_string(port), port,
                {{"a1", "dc-a", true, HostA},
                 {"a2", "dc-a", false, HostA},
                 {"a3", "dc-a", false, HostA},
                 {"b1", "dc-b", true, HostB},
                 {"b2", "dc-b", true, HostB},
                 {"b3", "dc-b", false, HostB}}) {
    addRelays(VmsA, HostA);
    addRelays(VmsB, HostB);
    Cluster.bootstrap();
    Cluster.createTeam();
    addService("barnstock", "dc-a");
    addService("haulroute", "dc-b");
  }

  void partition() {
    for (const auto &vm : VmsA)
      Relays.at(vm)->partitionFrom(HostB);
    for (const auto &vm : VmsB)
      Relays.at(vm)->partitionFrom(HostA);
  }
  void heal() {
    for (auto &[vm, relay] : Relays)
      relay->heal();
  }
  TcpRelay &relay(const std::string &vm) { return *Relays.at(vm); }
  unsigned status(const std::string &vm, const std::string &service,
                  const std::string &key) {
    return Cluster
        .request(vm, "GET", service, "/level", {{"Mill-Key", key}}, seconds(2))
        .Status;
  }
  std::uint64_t versionAt(const std::string &vm, const std::string &path) {
    return readNumber(Cluster.get(vm, path), "version");
  }

  LocalCluster Cluster;

private:
  void addRelays(const std::vector<std::string> &vms, const std::string &host) {
    // A relay listens on 127.0.0.1, the address in the seeds, at the VM's own
    // peer port and forwards to the VM at its own address.
    for (const auto &vm : vms) {
      auto port = Cluster.peerPort(vm);
      Relays[vm] = std::make_unique<TcpRelay>(port, host, port);
    }
  }
  void addService(const std::string &service, const std::string &centre) {
    waitUntil("the service " + service + " is set", [&] {
      return Cluster
                 .set("b3", "/services/" + service,
                      fmt::format(
                          R"({{"keyed":true,"slots":6,"data_centres":["{}"]}})",
                          centre),
                      0, "service-" + service)
                 .Status == 200;
    });
    for (int n = 1; n <= 2; ++n)
      Cluster.startTarget(
          {fmt::format("{}-{}", service, n), service, centre, {}});
  }

  std::map<std::string, std::unique_ptr<TcpRelay>> Relays;
};

constexpr int KeyCount = 12;

bool servesAll(TwoDataCentres &centres, const std::vector<std::string> &vms,
               const std::string &service) {
  for (int n = 0; n < KeyCount; ++n) {
    const auto &vm = vms[static_cast<std::size_t>(n) % vms.size()];
    if (centres.status(vm, service, fmt::format("key-{}", n)) != 200)
      return false;
  }
  return true;
}

} // namespace

TEST_CASE("Network partition between two data centres", "[settings-faults]") {
  TwoDataCentres centres(23200);
  auto &cluster = centres.Cluster;
  waitUntil("both data centres serve requests", [&] {
    return servesAll(centres, VmsA, "barnstock") &&
           servesAll(centres, VmsB, "haulroute");
  });
  centres.partition();
  auto PartitionEnd = std::chrono::steady_clock::now() + PartitionDuration;

  auto set = [&](const std::string &vm, const std::string &name) {
    return cluster.set(vm, "/targets/barnstock/" + name,
                       R"({"state":"active"})", 0, name);
  };
  HttpResponse accepted;
  waitUntil("the side with a quorum accepts changes", [&] {
    accepted = set("b3", "during");
    return accepted.Status == 200;
  });
  std::map<std::string, std::uint64_t> refused;
  for (std::size_t n = 0; std::chrono::steady_clock::now() < PartitionEnd;
       ++n) {
    auto name = fmt::format("refused-{}", n);
    auto answer = set(VmsA[n % VmsA.size()], name);
    auto code = readNumber(answer, "code");
    INFO(answer.Body);
    CHECK((code == NoQuorum || code == ChangeOutcomeUnknown));
    refused["/targets/barnstock/" + name] = code;
  }
  CHECK(servesAll(centres, VmsA, "barnstock"));
  CHECK(servesAll(centres, VmsB, "haulroute"));

  SECTION("the side without a quorum fails over its own targets") {
    cluster.target("barnstock-1").signal(SIGKILL);
    cluster.target("barnstock-1").wait();
    waitUntil(
        "the other target serves all keys",
        [&] { return servesAll(centres, VmsA, "barnstock"); }, FailoverLimit);
  }
  SECTION("after the partition heals all VMs have the same settings") {
    centres.heal();
    auto version = readNumber(accepted, "version");
    for (const auto *vms : {&VmsA, &VmsB})
      for (const auto &vm : *vms)
        waitUntil(
            "the change is in force at " + vm,
            [&] {
              return centres.versionAt(vm, "/targets/barnstock/during") ==
                     version;
            },
            seconds(6));
    for (const auto &[path, code] : refused)
      if (code == NoQuorum)
        CHECK(centres.versionAt("b1", path) == 0);
    waitUntil("each side reaches the other's keys", [&] {
      return servesAll(centres, VmsB, "barnstock") &&
             servesAll(centres, VmsA, "haulroute");
    });
  }
}

TEST_CASE("Open connections to a VM lose all data", "[settings-faults]") {
  TwoDataCentres centres(23240);
  waitUntil("data centre dc-a serves requests",
            [&] { return servesAll(centres, VmsA, "barnstock"); });
  // Data on existing connections to a2 is lost in both directions; new
  // connections work.
  centres.relay("a2").discardOnOpenConnections();
  waitUntil(
      "all VMs serve again",
      [&] { return servesAll(centres, VmsA, "barnstock"); }, FailoverLimit);
  REQUIRE(centres.Cluster
              .set("a2", "/targets/barnstock/after", R"({"state":"active"})", 0,
                   "after")
              .Status == 200);
}

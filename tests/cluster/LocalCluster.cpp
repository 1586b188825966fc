// Writes settings files, starts processes and makes HTTP calls for
// LocalCluster.
#include "cluster/LocalCluster.h"

#include "settings/Access.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace magnoliamill::tests {

namespace json = boost::json;

const std::string LocalCluster::AdminToken = "test-admin";
const std::string LocalCluster::TeamToken = "test-team";

void waitUntil(const std::string &what, const std::function<bool()> &condition,
               std::chrono::milliseconds limit) {
  auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      throw std::runtime_error("timed out: " + what);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

LocalCluster::LocalCluster(std::string name, std::uint16_t port,
                           std::vector<VmPlan> vms)
    : Folder(std::filesystem::path(MILL_BINARY_DIR) / "cluster" / name),
      Vms(std::move(vms)) {
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  for (const auto &vm : Vms) {
    PortsOf[vm.Name] = {port, port, static_cast<std::uint16_t>(port + 1)};
    port = static_cast<std::uint16_t>(port + 2);
  }
}

LocalCluster::~LocalCluster() {
  // SIGKILL also ends a frozen (SIGSTOP) process; SIGCONT is not needed.
  Processes.clear();
}

const VmPlan &LocalCluster::plan(const std::string &vm) const {
  return *std::ranges::find(Vms, vm, &VmPlan::Name);
}

std::uint16_t LocalCluster::httpPort(const std::string &vm) const {
  return PortsOf.at(vm).Http;
}

std::uint16_t LocalCluster::peerPort(const std::string &vm) const {
  return PortsOf.at(vm).Peer;
}

void LocalCluster::setAdvertisedPeerPort(const std::string &vm,
                                         std::uint16_t port) {
  PortsOf.at(vm).AdvertisedPeer = port;
}

std::filesystem::path LocalCluster::dataFolder(const std::string &vm) const {
  return Folder / vm;
}

void LocalCluster::writeSettings(const VmPlan &vm) const {
  json::array seeds;
  for (const auto &other : Vms) {
    const Ports &ports = PortsOf.at(other.Name);
    seeds.push_back({{"vm", other.Name},
                     {"data_centre", other.DataCentre},
                     {"host", "127.0.0.1"},
                     {"peer_port", ports.AdvertisedPeer},
                     {"http_port", ports.Http},
                     {"disk", other.HasDisk}});
  }
  const Ports &own = PortsOf.at(vm.Name);
  json::object out{{"vm", vm.Name},
                   {"data_centre", vm.DataCentre},
                   {"peer_listen", {{"host", vm.PeerHost}, {"port", own.Peer}}},
                   {"http_listen", {{"host", "127.0.0.1"}, {"port", own.Http}}},
                   {"settings_replica", vm.HasDisk},
                   {"data_centre_replica", true},
                   {"admin_token_sha256", settings::hashToken(AdminToken)},
                   {"allowed_target_hosts", json::array{"127.0.0.0/8"}},
                   {"seeds", seeds}};
  if (vm.HasDisk)
    out["data_folder"] = dataFolder(vm.Name).string();
  std::ofstream(Folder / (vm.Name + ".json")) << json::serialize(out);
}

void LocalCluster::bootstrap() {
  for (const auto &vm : Vms)
    writeSettings(vm);
  for (const auto &vm : Vms)
    startVm(vm.Name, vm.HasDisk);
  for (const auto &vm : Vms)
    waitUntil(vm.Name + " is ready", [&] { return isReady(vm.Name); });
}

void LocalCluster::startVm(const std::string &vm, bool bootstrap) {
  if (plan(vm).HasDisk)
    std::filesystem::create_directories(dataFolder(vm));
  std::vector<std::string> command{
      std::string(MILL_BINARY_DIR) + "/apps/magnoliamilld/magnoliamilld",
      "--settings", (Folder / (vm + ".json")).string()};
  if (bootstrap)
    command.push_back("--bootstrap");
  Processes[vm] =
      std::make_unique<ChildProcess>(command, Folder / (vm + ".log"));
}

void LocalCluster::startTarget(const TargetPlan &plan) {
  std::string announce;
  for (const auto &vm : Vms)
    if (vm.DataCentre == plan.DataCentre)
      announce += fmt::format("{}127.0.0.1:{}", announce.empty() ? "" : ",",
                              httpPort(vm.Name));
  std::vector<std::string> command{
      std::string(MILL_BINARY_DIR) + "/fakes/target/fake-target",
      "--name=" + plan.Name,
      "--service=" + plan.Service,
      "--data_centre=" + plan.DataCentre,
      "--host=127.0.0.1",
      "--port=0",
      "--announce=" + announce,
      "--slots=3",
      "--record=" + (Folder / (plan.Name + ".runs")).string()};
  command.insert(command.end(), plan.Flags.begin(), plan.Flags.end());
  Processes[plan.Name] =
      std::make_unique<ChildProcess>(command, Folder / (plan.Name + ".log"));
}

bool LocalCluster::isReady(const std::string &vm) {
  return callHttp(httpPort(vm), "GET", "/readyz", {}, "",
                  std::chrono::seconds(1))
             .Status == 200;
}

void LocalCluster::createTeam() {
  std::string value =
      fmt::format(R"({{"token_sha256":"{}"}})", settings::hashToken(TeamToken));
  auto answer = callHttp(
      httpPort(Vms.front().Name), "PUT", "/v1/settings/admin/teams/roads",
      {{"Authorization", "Bearer " + AdminToken}, {"Mill-Change-Id", "team"}},
      fmt::format(R"({{"value":{},"expected_version":0}})", value));
  if (answer.Status != 200)
    throw std::runtime_error("cannot create the team: " + answer.Body);
  // Each VM checks access against the settings that are in force on it.
  for (const auto &vm : Vms)
    waitUntil("the team is known at " + vm.Name, [&] {
      return api(vm.Name, "/settings/admin/teams/roads").Status == 200;
    });
}

HttpResponse LocalCluster::set(const std::string &vm, const std::string &path,
                               const std::string &value, std::uint64_t expected,
                               const std::string &change) {
  return callHttp(
      httpPort(vm), "PUT", "/v1/settings/teams/roads" + path,
      {{"Authorization", "Bearer " + TeamToken}, {"Mill-Change-Id", change}},
      fmt::format(R"({{"value":{},"expected_version":{}}})", value, expected));
}

HttpResponse LocalCluster::get(const std::string &vm, const std::string &path) {
  return api(vm, "/settings/teams/roads" + path);
}

HttpResponse LocalCluster::api(const std::string &vm, const std::string &path) {
  return callHttp(httpPort(vm), "GET", "/v1" + path,
                  {{"Authorization", "Bearer " + AdminToken}}, "",
                  std::chrono::seconds(2));
}

HttpResponse LocalCluster::request(const std::string &vm,
                                   const std::string &method,
                                   const std::string &service,
                                   const std::string &path,
                                   const HttpHeaders &headers,
                                   std::chrono::milliseconds limit) {
  return callHttp(httpPort(vm), method, "/s/" + service + path, headers, "",
                  limit);
}

namespace {

std::string readText(const json::object &line, const char *name) {
  const auto *value = line.if_contains(name);
  return value && value->is_string() ? std::string(value->as_string())
                                     : std::string();
}

/// A "begin" line adds a run and the line written at its end completes it, so
/// that runs of a killed target are counted too.
void addRunLine(const json::object &line, std::vector<RunRecord> &runs) {
  std::string request = readText(line, "request");
  if (readText(line, "event") == "begin") {
    runs.push_back({request, readText(line, "key"), readText(line, "token"),
                    readText(line, "instance"), readText(line, "name"),
                    readText(line, "path"), readText(line, "idempotency"),
                    line.at("start_us").to_number<std::int64_t>(), 0});
    return;
  }
  auto begun = std::find_if(runs.rbegin(), runs.rend(),
                            [&request](const RunRecord &run) {
                              return run.Request == request && run.EndUs == 0;
                            });
  if (begun != runs.rend())
    begun->EndUs = line.at("end_us").to_number<std::int64_t>();
}

} // namespace

std::vector<RunRecord> LocalCluster::runs() const {
  std::vector<RunRecord> all;
  for (const auto &file : std::filesystem::directory_iterator(Folder)) {
    if (file.path().extension() != ".runs")
      continue;
    std::vector<RunRecord> found;
    std::ifstream in(file.path());
    for (std::string line; std::getline(in, line);) {
      boost::system::error_code ec;
      auto parsed = json::parse(line, ec);
      // The last line of a killed target may be incomplete.
      if (!ec && parsed.as_object().contains("request"))
        addRunLine(parsed.as_object(), found);
    }
    all.insert(all.end(), found.begin(), found.end());
  }
  return all;
}

std::string LocalCluster::leaderOf(const std::string &group,
                                   const std::string &asked) {
  auto answer = api(asked, "/members");
  boost::system::error_code ec;
  auto parsed = json::parse(answer.Body, ec);
  if (answer.Status != 200 || ec)
    return {};
  return std::string(parsed.at(group).at("leader").as_string());
}

} // namespace magnoliamill::tests

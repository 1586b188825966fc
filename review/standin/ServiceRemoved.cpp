// Case: the operator removes a service that a route still names.
#include "Harness.h"

#include <iostream>

using namespace review;

namespace {

struct Counts {
  int Sent = 0;
  int Served = 0;
};

Counts sendRequests(const Deployment &fleet, Record &record,
                    const std::string &name, int count) {
  Counts counts;
  for (int i = 0; i < count; ++i) {
    const auto attempt = name + "-" + std::to_string(i);
    const auto key = static_cast<std::uint32_t>(i * 4099 % 65536);
    const auto answer =
        call(Deployment::entryHost(i % 2), fleet.clientPort(), "POST",
             "/book/x", requestHeaders(attempt, key, 1500), "load", 2000);
    record.line("client: " + attempt + " status " +
                std::to_string(answer.Status));
    ++counts.Sent;
    counts.Served += answer.Status == 200 ? 1 : 0;
    pause(50);
  }
  return counts;
}

std::string describe(const Counts &counts) {
  return std::to_string(counts.Served) + " of " + std::to_string(counts.Sent);
}

/// True if the configuration read back has a route to a service that it does
/// not have.
bool hasUnknownService(const Deployment &fleet, Record &record) {
  const auto answer = fleet.control("GET", "/v1/config", nullptr, 0, 5000);
  const auto body = Json::from_cbor(answer.Body, true, false);
  if (answer.Status != 200 || !body.is_object())
    return false;
  record.line("operator reads back: " + body.dump());
  std::map<std::string, bool> services;
  for (const auto &item : body["resources"])
    if (item["resource_type"] == "services")
      services[item["metadata"]["name"]] = true;
  for (const auto &item : body["resources"])
    if (item["resource_type"] == "routes" &&
        !services.contains(item["spec"]["service"]))
      return true;
  return false;
}

int runCase(const std::string &folder) {
  Record record(folder);
  Deployment fleet({3, 2}, record);
  if (!sendFirstConfig(fleet, record) ||
      sendItems(fleet, record,
                Json::array({makeService("spare", "00000001", false)})) != 200)
    return ExitNotRun;
  const Upstream a({"i-a", "barn"}, fleet, record);
  const Upstream b({"i-b", "barn"}, fleet, record);
  if (!fleet.waitUntilReady(20000) || !waitUntilHeld({&a, &b}, 20000))
    return ExitNotRun;
  const auto before = sendRequests(fleet, record, "before", 40);
  // Without the disruption the service is one that no route names.
  const std::string service = hasTrouble() ? "barn" : "spare";
  const Json body = {
      {"upsert", {{"resources", Json::array()}}},
      {"remove",
       {{"routes", Json::array()},
        {"services",
         Json::array({{{"name", service}, {"version", "00000002"}}})}}}};
  const auto answer = fleet.control("PATCH", "/v1/config", body, 0, 5000);
  record.line("operator removes service " + service + ", status " +
              std::to_string(answer.Status));
  if (answer.Status == 0)
    return ExitNotRun;
  // More than a hold, so that leases that aren't renewed have run out.
  pause(5000);
  const auto after = sendRequests(fleet, record, "after", 40);
  const bool invalid = hasUnknownService(fleet, record);
  const std::string result =
      "the removal got status " + std::to_string(answer.Status) +
      "; a route names an unknown service: " + (invalid ? "yes" : "no") +
      "; served before: " + describe(before) + ", after: " + describe(after);
  record.line(result);
  std::cout << result << "\n";
  return answer.Status / 100 == 2 && invalid ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv) {
  try {
    return argc == 2 ? runCase(argv[1]) : ExitNotRun;
  } catch (const std::exception &error) {
    std::cerr << error.what() << "\n";
    return ExitNotRun;
  }
}

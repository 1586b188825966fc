// mill-load, a program that sends an open-loop load determined by its seed and
// prints the results as one JSON line.
#include "bench/load/LoadClient.h"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(endpoints, "", "host:port,host:port with numeric hosts");
DEFINE_string(path, "/s/barnstock/level", "path of every request");
DEFINE_string(client_accounts, "brazos:100",
              "account:rate,...; requests per second");
DEFINE_double(seconds, 5, "length of the run");
DEFINE_uint64(seed, 1, "fixes arrivals and keys");
DEFINE_uint32(keys, 1000, "different keys");
DEFINE_double(zipf, 0.9, "exponent of the keys' distribution; 0 uniform");
DEFINE_double(post_share, 0, "share of POST requests");
DEFINE_uint32(deadline_ms, 1000, "deadline header; 0 for none");
DEFINE_string(label, "", "copied into the JSON line");

namespace {

using namespace magnoliamill::bench;
using boost::asio::ip::tcp;

std::vector<tcp::endpoint> parseEndpoints(const std::string &text) {
  std::vector<tcp::endpoint> endpoints;
  std::istringstream list(text);
  for (std::string item; std::getline(list, item, ',');) {
    const auto colon = item.rfind(':');
    boost::system::error_code ec;
    const auto host = boost::asio::ip::make_address(item.substr(0, colon), ec);
    std::uint16_t port = 0;
    if (colon != std::string::npos)
      std::from_chars(item.data() + colon + 1, item.data() + item.size(), port);
    if (ec || port == 0)
      return {};
    endpoints.emplace_back(host, port);
  }
  return endpoints;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  ClientConfig client;
  client.Endpoints = parseEndpoints(FLAGS_endpoints);
  PlanConfig plan;
  plan.ClientAccounts = parseClientAccounts(FLAGS_client_accounts);
  if (client.Endpoints.empty() || plan.ClientAccounts.empty()) {
    fmt::print(stderr, "mill-load: invalid --endpoints or --client_accounts\n");
    return 1;
  }
  client.Path = FLAGS_path;
  client.DeadlineMs = FLAGS_deadline_ms;
  client.RunName = fmt::format("load-{}-{}", FLAGS_label, FLAGS_seed);
  plan.Length = std::chrono::duration<double>(FLAGS_seconds);
  plan.Seed = FLAGS_seed;
  plan.Keys = FLAGS_keys;
  plan.Zipf = FLAGS_zipf;
  plan.PostShare = FLAGS_post_share;

  std::vector<std::string> names;
  for (const auto &account : plan.ClientAccounts)
    names.push_back(account.ClientAccount);
  auto planned = makePlan(plan);
  const std::size_t sent = planned.size();
  LoadReport report(plan.ClientAccounts);
  boost::asio::io_context context(1);
  LoadClient load(context, std::move(client), std::move(planned),
                  std::move(names), report);
  load.start();
  context.run();

  auto document = report.describe(sent, plan.Length);
  document["label"] = FLAGS_label;
  document["seed"] = FLAGS_seed;
  fmt::print("{}\n", boost::json::serialize(document));
  return 0;
}

// fake-target, a program that runs one fake target.
#include "base/EventLoopThread.h"
#include "fakes/target/FakeTarget.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <future>
#include <gflags/gflags.h>

DEFINE_string(name, "target", "name, the same over restarts");
DEFINE_string(service, "service", "service that it serves");
DEFINE_string(data_centre, "dc", "data centre it is in");
DEFINE_string(host, "127.0.0.1", "numeric address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 for any");
DEFINE_string(announce, "", "entry VMs as host:port,host:port");
DEFINE_int64(slots, 3, "requests it can run at once");
DEFINE_int64(service_ms, 5, "time of a request");
DEFINE_int64(service_jitter_ms, 0, "most that chance adds to service_ms");
DEFINE_int64(cold_start_ms, 0, "extra time of requests in the first 5 s");
DEFINE_int64(shed_over, 0, "refuse beyond this many running; 0 never");
DEFINE_bool(checks_tokens, true, "check grants and tokens");
DEFINE_bool(cancel, true, "stop a run when its dispatcher disconnects");
DEFINE_bool(deadlines, true, "refuse what can't make its deadline");
DEFINE_string(lie_health, "none", "ok|bad|none");
DEFINE_int64(health_lag_ms, 0, "age of what health and load tell");
DEFINE_string(record, "", "file to append one JSON line per run to");
DEFINE_int64(body_bytes, 0, "size of answers; 0 for small JSON");
DEFINE_int64(truncate_every, 0, "every so many answers end short; 0 never");
DEFINE_string(ending_path, "", "a request for it ends the process");
DEFINE_bool(enforce_slots, false, "count runs beyond the slots");

namespace {

using namespace magnoliamill;

fakes::FakeTargetConfig readFlags() {
  fakes::FakeTargetConfig config;
  config.Name = FLAGS_name;
  config.Service = FLAGS_service;
  config.DataCentre = FLAGS_data_centre;
  config.Host = FLAGS_host;
  config.Port = static_cast<std::uint16_t>(FLAGS_port);
  config.Entries = fakes::parseAddresses(FLAGS_announce);
  config.Slots = FLAGS_slots;
  config.RecordPath = FLAGS_record;
  config.InitialBehaviour.ServiceMs = FLAGS_service_ms;
  config.InitialBehaviour.ServiceJitterMs = FLAGS_service_jitter_ms;
  config.InitialBehaviour.ColdStartMs = FLAGS_cold_start_ms;
  config.InitialBehaviour.ShedOver = FLAGS_shed_over;
  config.InitialBehaviour.ChecksTokens = FLAGS_checks_tokens;
  config.InitialBehaviour.Cancel = FLAGS_cancel;
  config.InitialBehaviour.Deadlines = FLAGS_deadlines;
  config.InitialBehaviour.HealthOverride = FLAGS_lie_health;
  config.InitialBehaviour.HealthLagMs = FLAGS_health_lag_ms;
  config.InitialBehaviour.BodyBytes = FLAGS_body_bytes;
  config.InitialBehaviour.TruncateEvery = FLAGS_truncate_every;
  config.InitialBehaviour.EndingPath = FLAGS_ending_path;
  config.InitialBehaviour.EnforceSlots = FLAGS_enforce_slots;
  return config;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  base::EventLoopThread loop("target", 1024);
  auto target = std::make_shared<fakes::FakeTarget>(loop, readFlags());
  if (auto started = target->start(); !started) {
    fmt::print(stderr, "fake-target: {}\n", started.error().Message);
    return 1;
  }
  boost::asio::signal_set signals(loop.context(), SIGTERM, SIGINT);
  std::promise<void> left;
  signals.async_wait([&](boost::system::error_code ec, int) {
    if (!ec)
      target->leave([&left] { left.set_value(); });
  });
  loop.start();
  fmt::print("{}\n",
             boost::json::serialize(boost::json::object{
                 {"port", target->port()}, {"instance", target->instance()}}));
  std::fflush(stdout);
  left.get_future().wait();
  loop.stop();
  return 0;
}

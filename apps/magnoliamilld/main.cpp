// magnoliamilld, the daemon that runs on each VM. The settings file determines
// whether the VM belongs to a fleet deployment or a mesh deployment.
#include "ExitCodes.h"
#include "FleetProcess.h"
#include "SettingsFile.h"
#include "base/Log.h"
#include "fleet/FleetSettings.h"
#include "node/Node.h"
#include "settings/NodeSettings.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "Path of the VM's settings file (JSON).");
DEFINE_bool(check, false,
            "Only check the settings file and report all faults.");
DEFINE_bool(
    bootstrap, false,
    "First start of a new installation: found the settings group. Never "
    "use it to bring back a VM whose disk was lost.");

namespace {

using namespace magnoliamill;

std::optional<settings::NodeSettings> checkSettings(const std::string &text) {
  auto checked = settings::checkNodeSettings(text);
  for (const auto &fault : checked.Faults)
    base::logError("node", fault.Code, fault.Message, {{"path", fault.Path}});
  return std::move(checked.Settings);
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("magnoliamilld --settings FILE [--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  const auto text = readSettingsFile(FLAGS_settings);
  if (!text) {
    base::logError("node", base::ResultCode::FileUnreadable,
                   "the settings file cannot be read",
                   {{"path", FLAGS_settings}});
    return ExitBadSettings;
  }
  if (fleet::isFleetSettings(*text))
    return runFleetProcess(FLAGS_settings, *text, FLAGS_check);
  auto settings = checkSettings(*text);
  if (!settings)
    return ExitBadSettings;
  if (FLAGS_check) {
    fmt::print("{}: no faults\n", FLAGS_settings);
    return ExitOk;
  }
  base::setLogIdentity(settings->Vm.Value, settings->DataCentre.Value);
  base::setLogLevel(settings->LogLevel);

  boost::asio::io_context context;
  // Keeps run() going after the signal handler has returned: the node's threads
  // finish the shutdown and then stop the context.
  auto WorkGuard = boost::asio::make_work_guard(context);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  node::Node node(std::move(*settings), FLAGS_bootstrap);
  auto started = node.start();
  if (!started) {
    base::logError("node", started.error().Code, started.error().Message);
    return ExitStartFailed;
  }
  signals.async_wait([&](const boost::system::error_code &ec, int) {
    if (!ec)
      node.beginStop([&context] { context.stop(); });
  });
  context.run();
  return ExitOk;
}

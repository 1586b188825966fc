// The command check: validates a daemon's settings file, or a value for a path,
// without contacting a server.
#include "Change.h"
#include "Output.h"

#include "settings/NodeSettings.h"
#include "settings/Schema.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <ostream>

namespace magnoliamill::millctl {
namespace {

namespace json = boost::json;

/// Prints all faults. The exit code follows from the code of the first one.
base::Result<void> showFaults(CommandContext &context,
                              const std::vector<settings::Fault> &faults) {
  json::array list;
  for (const auto &fault : faults)
    list.push_back(json::object{{"code", base::numberOf(fault.Code)},
                                {"name", base::nameOf(fault.Code)},
                                {"path", fault.Path},
                                {"message", fault.Message}});
  printAnswer(context, json::object{{"ok", faults.empty()},
                                    {"faults", std::move(list)}});
  if (faults.empty())
    return base::ok();
  return base::fail(
      faults.front().Code,
      fmt::format("{} fault{}", faults.size(), faults.size() == 1 ? "" : "s"));
}

} // namespace

base::Result<void> runCheck(CommandContext &context, Arguments arguments) {
  auto text = readSource(context, arguments[0]);
  if (!text)
    return base::fail(text.error());
  if (arguments.size() == 1)
    return showFaults(context,
                      settings::checkNodeSettings(text.value()).Faults);
  auto path = settings::parsePath(arguments[1]);
  if (!path)
    return base::fail(path.error());
  return showFaults(context,
                    settings::checkValue(path.value(), text.value()).Faults);
}

} // namespace magnoliamill::millctl

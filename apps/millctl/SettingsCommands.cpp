// The commands get, set, delete and list.
#include "Change.h"
#include "Output.h"

#include <boost/json.hpp>

namespace magnoliamill::millctl {
namespace {

/// Prints an answer, or returns its error.
base::Result<void> show(CommandContext &context,
                        const base::Result<boost::json::value> &answer) {
  if (!answer)
    return base::fail(answer.error());
  printAnswer(context, answer.value());
  return base::ok();
}

} // namespace

base::Result<void> runGet(CommandContext &context, Arguments arguments) {
  return show(context, context.Api.get("/v1/settings" + arguments[0]));
}

base::Result<void> runSet(CommandContext &context, Arguments arguments) {
  const auto &first = arguments[0];
  const auto &expect = context.Flags.Expect;
  if (arguments.size() == 2) {
    auto value = readSource(context, arguments[1]);
    if (!value)
      return base::fail(value.error());
    return show(context, putValue(context, first, value.value(), expect));
  }
  auto equals = first.find('=');
  if (equals == std::string::npos)
    return failUsage("no value given: use set PATH FILE, set PATH - or set "
                     "PATH=VALUE");
  return show(context, putValue(context, first.substr(0, equals),
                                first.substr(equals + 1), expect));
}

base::Result<void> runDelete(CommandContext &context, Arguments arguments) {
  return show(context,
              deleteValue(context, arguments[0], context.Flags.Expect));
}

base::Result<void> runList(CommandContext &context, Arguments arguments) {
  auto prefix = arguments.empty() ? "/" : arguments[0];
  return show(context, context.Api.get("/v1/list" + prefix));
}

} // namespace magnoliamill::millctl

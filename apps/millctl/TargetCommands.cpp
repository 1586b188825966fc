// The commands targets, owners, drain and evacuate.
#include "Change.h"
#include "Output.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace magnoliamill::millctl {
namespace {

namespace json = boost::json;

std::string targetPath(const std::string &team, const std::string &service,
                       const std::string &name) {
  return fmt::format("/teams/{}/targets/{}/{}", team, service, name);
}

/// Writes the rule for one target. Replaces the current version unless --expect
/// is given.
base::Result<void> setTargetRule(CommandContext &context,
                                 const std::string &path,
                                 const json::object &rule) {
  const auto &given = context.Flags.Expect;
  auto answer = putValue(context, path, json::serialize(rule),
                         given.empty() ? "current" : given);
  if (!answer)
    return base::fail(answer.error().Code,
                      fmt::format("{}: {}", path, answer.error().Message));
  printAnswer(context, answer.value());
  return base::ok();
}

/// Returns the names of the targets that have announced themselves.
base::Result<std::vector<std::string>> findTargets(CommandContext &context,
                                                   const std::string &service) {
  auto answer = context.Api.get("/v1/targets?service=" + escapeQuery(service));
  if (!answer)
    return base::fail(answer.error());
  std::vector<std::string> names;
  const auto *object = answer.value().if_object();
  const auto *list = object ? object->if_contains("targets") : nullptr;
  if (!list || !list->is_array())
    return base::fail(base::ResultCode::PeerProtocol,
                      "the answer has no 'targets'");
  for (const auto &target : list->get_array()) {
    const auto *fields = target.if_object();
    const auto *name = fields ? fields->if_contains("name") : nullptr;
    if (name && name->is_string())
      names.emplace_back(name->get_string().c_str());
  }
  return names;
}

base::Result<void> show(CommandContext &context, const std::string &target) {
  auto answer = context.Api.get(target);
  if (!answer)
    return base::fail(answer.error());
  printAnswer(context, answer.value());
  return base::ok();
}

} // namespace

base::Result<void> runTargets(CommandContext &context, Arguments arguments) {
  return show(context, "/v1/targets?service=" + escapeQuery(arguments[0]));
}

base::Result<void> runOwners(CommandContext &context, Arguments arguments) {
  return show(context, fmt::format("/v1/owners?service={}&key={}",
                                   escapeQuery(arguments[0]),
                                   escapeQuery(arguments[1])));
}

base::Result<void> runDrain(CommandContext &context, Arguments arguments) {
  return setTargetRule(
      context, targetPath(arguments[0], arguments[1], arguments[2]),
      {{"state", context.Flags.Cancel ? "active" : "leaving"}});
}

base::Result<void> runEvacuate(CommandContext &context, Arguments arguments) {
  const auto &by = context.Flags.LeaveBy;
  if (by.empty())
    return failUsage("--by is missing, for example --by 2026-12-31T18:00:00Z");
  std::vector<std::string> names(arguments.begin() + 2, arguments.end());
  if (names.empty()) {
    auto found = findTargets(context, arguments[1]);
    if (!found)
      return base::fail(found.error());
    names = std::move(found.value());
  }
  for (const auto &name : names) {
    auto done =
        setTargetRule(context, targetPath(arguments[0], arguments[1], name),
                      {{"state", "leaving"}, {"leave_by", by}});
    if (!done)
      return done;
  }
  return base::ok();
}

} // namespace magnoliamill::millctl

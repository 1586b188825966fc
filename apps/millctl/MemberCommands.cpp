// The command members with its actions list, add, remove and replace.
#include "Change.h"
#include "Output.h"

namespace magnoliamill::millctl {
namespace {

base::Result<void> show(CommandContext &context,
                        const base::Result<boost::json::value> &answer) {
  if (!answer)
    return base::fail(answer.error());
  printAnswer(context, answer.value());
  return base::ok();
}

std::string vmPath(const std::string &vm) { return "/admin/vms/" + vm; }

base::Result<void> addMember(CommandContext &context, const std::string &vm,
                             const std::string &source) {
  auto value = readSource(context, source);
  if (!value)
    return base::fail(value.error());
  return show(context, putValue(context, vmPath(vm), value.value(), "none"));
}

base::Result<void> removeMember(CommandContext &context,
                                const std::string &vm) {
  return show(context, deleteValue(context, vmPath(vm), "current"));
}

} // namespace

base::Result<void> runMembers(CommandContext &context, Arguments arguments) {
  const auto &action = arguments[0];
  auto n = arguments.size();
  if (action == "list" && n == 1)
    return show(context, context.Api.get("/v1/members"));
  if (action == "add" && n == 3)
    return addMember(context, arguments[1], arguments[2]);
  if (action == "remove" && n == 2)
    return removeMember(context, arguments[1]);
  if (action != "replace" || n != 4)
    return failUsage("members list | add VM FILE | remove VM | replace OLD NEW "
                     "FILE");
  // The new VM is added first: a failure between the two steps leaves one
  // member too many, never one too few.
  if (auto added = addMember(context, arguments[2], arguments[3]); !added)
    return added;
  return removeMember(context, arguments[1]);
}

} // namespace magnoliamill::millctl

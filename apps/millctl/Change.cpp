// Makes changes. Each change gets one change id, which all its attempts use.
#include "Change.h"

#include "settings/SettingsPath.h"

#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <istream>
#include <iterator>

namespace magnoliamill::millctl {
namespace {

namespace json = boost::json;
using base::ResultCode;

std::uint64_t readNumberField(const json::value &value,
                              std::string_view field) {
  const auto *object = value.if_object();
  const auto *found =
      object ? object->if_contains({field.data(), field.size()}) : nullptr;
  if (!found || !found->is_int64() || found->get_int64() < 0)
    return 0;
  return static_cast<std::uint64_t>(found->get_int64());
}

base::Result<std::uint64_t> resolveExpectedVersion(const std::string &expect,
                                                   const PathState &state) {
  if (expect == "current")
    return state.Version;
  if (expect == "none")
    return std::uint64_t{0};
  std::uint64_t version = 0;
  const char *last = expect.data() + expect.size();
  auto [end, ec] = std::from_chars(expect.data(), last, version);
  if (!expect.empty() && ec == std::errc() && end == last)
    return version;
  return failUsage("give the version to be changed: --expect N (as read by "
                   "get), --expect none to create, or --expect current to "
                   "replace any current value");
}

struct PreparedChange {
  std::uint64_t Version = 0;
  std::string ChangeId;
};

/// Validates the arguments, reads the path's version unless --change-id is
/// given, and makes the change id.
base::Result<PreparedChange> prepareChange(CommandContext &context,
                                           const std::string &path,
                                           const std::string &expect) {
  if (auto parsed = settings::parsePath(path); !parsed)
    return base::fail(parsed.error());
  if (auto known = resolveExpectedVersion(expect, {}); !known)
    return base::fail(known.error());
  const auto &given = context.Flags.ChangeId;
  bool repeat = !given.empty();
  if (repeat && expect == "current")
    return failUsage("--change-id needs the version of the first attempt: "
                     "--expect N or none");
  PathState state;
  if (!repeat) {
    auto read = readState(context, path);
    if (!read)
      return base::fail(read.error());
    state = read.value();
  }
  auto version = resolveExpectedVersion(expect, state).value();
  return PreparedChange{version, repeat ? given : makeChangeId(state.Index)};
}

/// Adds the flags for repeating the change to an error ChangeOutcomeUnknown.
base::Result<json::value> addRetryHint(base::Result<json::value> result,
                                       const PreparedChange &change) {
  if (result || result.error().Code != ResultCode::ChangeOutcomeUnknown)
    return result;
  return base::fail(
      ResultCode::ChangeOutcomeUnknown,
      fmt::format("{}; repeat it safely with --change-id {} --expect {}",
                  result.error().Message, change.ChangeId,
                  change.Version == 0 ? "none"
                                      : std::to_string(change.Version)));
}

} // namespace

base::Result<PathState> readState(CommandContext &context,
                                  const std::string &path) {
  auto read = context.Api.get("/v1/settings" + path);
  if (read)
    return PathState{readNumberField(read.value(), "version"),
                     readNumberField(read.value(), "index")};
  if (read.error().Code != ResultCode::PathUnknown)
    return base::fail(read.error());
  return PathState{0, readNumberField(context.Api.lastError(), "index")};
}

base::Result<json::value> putValue(CommandContext &context,
                                   const std::string &path,
                                   const std::string &value,
                                   const std::string &expect) {
  boost::system::error_code ec;
  auto parsed = json::parse(value, ec);
  if (ec)
    return base::fail(ResultCode::JsonMalformed,
                      "the value is not JSON: " + ec.message());
  auto change = prepareChange(context, path, expect);
  if (!change)
    return base::fail(change.error());
  auto body = json::serialize(json::object{
      {"value", parsed}, {"expected_version", change.value().Version}});
  return addRetryHint(context.Api.change("PUT", "/v1/settings" + path, body,
                                         change.value().ChangeId),
                      change.value());
}

base::Result<json::value> deleteValue(CommandContext &context,
                                      const std::string &path,
                                      const std::string &expect) {
  auto change = prepareChange(context, path, expect);
  if (!change)
    return base::fail(change.error());
  if (change.value().Version == 0)
    return base::fail(ResultCode::PathUnknown,
                      fmt::format("nothing is set at {}", path));
  auto target = fmt::format("/v1/settings{}?expected_version={}", path,
                            change.value().Version);
  return addRetryHint(
      context.Api.change("DELETE", target, "", change.value().ChangeId),
      change.value());
}

base::Result<std::string> readSource(CommandContext &context,
                                     const std::string &name) {
  std::ifstream file;
  if (name != "-") {
    file.open(name, std::ios::binary);
    if (!file)
      return base::fail(ResultCode::FileUnreadable,
                        fmt::format("cannot read '{}'", name));
  }
  std::istream &in = name == "-" ? context.In : file;
  return std::string(std::istreambuf_iterator<char>(in), {});
}

} // namespace magnoliamill::millctl

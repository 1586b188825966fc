// Defines the flags with gflags. They are set one by one, because the parser of
// gflags ends the process with its own exit code on an error.
#include "Options.h"

#include <algorithm>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(endpoint, "127.0.0.1:8001",
              "HOST:PORT of entry VMs, separated by commas, tried in turn");
DEFINE_string(token, "", "access token; MILL_TOKEN when absent");
DEFINE_string(output, "table", "table or json");
DEFINE_string(expect, "", "version to be changed: a number, none or current");
DEFINE_string(by, "", "time by which targets leave: 2026-12-31T18:00:00Z");
DEFINE_string(change_id, "", "repeats a change whose outcome is unknown");
DEFINE_bool(cancel, false, "drain: makes the target active again");
DEFINE_bool(wait, false, "status: waits until the change is in force");
DEFINE_uint64(after, 0, "watch, history: only entries after this index");
DEFINE_uint64(limit, 0, "watch, history: at most this many entries; 0: all");
DEFINE_uint64(timeout_ms, 10000, "time limit of each attempt");

namespace magnoliamill::millctl {
namespace {

using base::ResultCode;

constexpr std::uint64_t MaxTimeoutMs = 3600000;

std::vector<std::string> splitCommas(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    auto end = std::min(text.find(','), text.size());
    if (end > 0)
      parts.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

/// True for flags defined in this file, false for the built-in ones of gflags.
bool isOwnFlag(const std::string &name, gflags::CommandLineFlagInfo &info) {
  return gflags::GetCommandLineFlagInfo(name.c_str(), &info) &&
         info.filename.ends_with("Options.cpp");
}

/// Sets the flag at index \p i and advances \p i to the last argument of the
/// flag.
base::Result<void> setFlag(const std::vector<std::string> &arguments,
                           std::size_t &i) {
  auto text = arguments[i].substr(arguments[i].starts_with("--") ? 2 : 1);
  auto equals = text.find('=');
  auto name = text.substr(0, equals);
  std::ranges::replace(name, '-', '_');
  gflags::CommandLineFlagInfo info;
  if (!isOwnFlag(name, info))
    return base::fail(ResultCode::BadRequest,
                      fmt::format("unknown flag '{}'", arguments[i]));
  std::string value = "true";
  if (equals != std::string::npos)
    value = text.substr(equals + 1);
  else if (info.type != "bool" && i + 1 == arguments.size())
    return base::fail(ResultCode::BadRequest,
                      fmt::format("--{} needs a value", name));
  else if (info.type != "bool")
    value = arguments[++i];
  if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
    return base::fail(
        ResultCode::BadRequest,
        fmt::format("--{} has the invalid value '{}'", name, value));
  return base::ok();
}

base::Result<Options> buildOptions(Options options, std::string_view token) {
  if (FLAGS_output != "table" && FLAGS_output != "json")
    return base::fail(ResultCode::BadRequest, "--output must be table or json");
  if (FLAGS_timeout_ms == 0 || FLAGS_timeout_ms > MaxTimeoutMs)
    return base::fail(
        ResultCode::BadRequest,
        fmt::format("--timeout_ms must be from 1 to {}", MaxTimeoutMs));
  options.Endpoints = splitCommas(FLAGS_endpoint);
  if (options.Endpoints.empty())
    return base::fail(ResultCode::BadRequest, "--endpoint is empty");
  options.Token = FLAGS_token.empty() ? std::string(token) : FLAGS_token;
  options.Json = FLAGS_output == "json";
  options.Expect = FLAGS_expect;
  options.LeaveBy = FLAGS_by;
  options.ChangeId = FLAGS_change_id;
  options.Cancel = FLAGS_cancel;
  options.Wait = FLAGS_wait;
  options.After = FLAGS_after;
  options.Limit = FLAGS_limit;
  options.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  return options;
}

} // namespace

base::Result<Options> readOptions(const std::vector<std::string> &arguments,
                                  std::string_view token) {
  gflags::FlagSaver saver;
  Options options;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const auto &text = arguments[i];
    if (text == "--help" || text == "-h") {
      options.Help = true;
    } else if (text.size() > 1 && text.starts_with('-')) {
      if (auto set = setFlag(arguments, i); !set)
        return base::fail(set.error());
    } else {
      options.Words.push_back(text);
    }
  }
  return buildOptions(std::move(options), token);
}

} // namespace magnoliamill::millctl

// The commands watch, history and status.
#include "Output.h"

#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>
#include <ostream>
#include <thread>

namespace magnoliamill::millctl {
namespace {

namespace json = boost::json;
using base::ResultCode;

constexpr std::uint64_t WatchWaitMs = 5000;
constexpr base::Duration StatusPause = std::chrono::milliseconds(200);
constexpr std::uint64_t DefaultHistoryLimit = 100;

auto failMissingField(std::string_view field) {
  return base::fail(ResultCode::PeerProtocol,
                    fmt::format("the answer has no '{}'", field));
}

const json::array *findList(const json::value &answer, std::string_view field) {
  const auto *object = answer.if_object();
  const auto *found =
      object ? object->if_contains({field.data(), field.size()}) : nullptr;
  return found ? found->if_array() : nullptr;
}

std::string renderField(const json::value &entry, std::string_view field) {
  const auto *object = entry.if_object();
  const auto *found =
      object ? object->if_contains({field.data(), field.size()}) : nullptr;
  return found ? renderCell(*found) : "";
}

void printEntry(const CommandContext &context, const json::value &entry) {
  if (context.Flags.Json) {
    context.Out << json::serialize(entry) << '\n';
    return;
  }
  context.Out << fmt::format(
      "{} {} {} {} {} {}: {} -> {}\n", renderField(entry, "index"),
      renderField(entry, "when"), renderField(entry, "who"),
      renderField(entry, "action"), renderField(entry, "path"),
      renderField(entry, "name"), renderField(entry, "old"),
      renderField(entry, "new"));
}

std::string getPrefix(Arguments arguments) {
  return arguments.empty() ? "/" : arguments[0];
}

} // namespace

base::Result<void> runWatch(CommandContext &context, Arguments arguments) {
  auto after = context.Flags.After;
  auto left = context.Flags.Limit;
  for (;;) {
    auto answer = context.Api.get(
        fmt::format("/v1/watch?after={}&prefix={}&wait_ms={}", after,
                    escapeQuery(getPrefix(arguments)), WatchWaitMs));
    if (!answer)
      return base::fail(answer.error());
    const auto *changes = findList(answer.value(), "changes");
    const auto *index = answer.value().get_object().if_contains("index");
    if (!changes || !index || !index->is_int64())
      return failMissingField("changes");
    for (const auto &entry : *changes) {
      printEntry(context, entry);
      if (left > 0 && --left == 0)
        return base::ok();
    }
    context.Out.flush();
    after = std::max(after, static_cast<std::uint64_t>(index->get_int64()));
  }
}

base::Result<void> runHistory(CommandContext &context, Arguments arguments) {
  auto limit =
      context.Flags.Limit > 0 ? context.Flags.Limit : DefaultHistoryLimit;
  auto answer = context.Api.get(fmt::format(
      "/v1/audit?prefix={}&after={}&limit={}",
      escapeQuery(getPrefix(arguments)), context.Flags.After, limit));
  if (!answer)
    return base::fail(answer.error());
  const auto *entries = findList(answer.value(), "entries");
  if (!entries)
    return failMissingField("entries");
  for (const auto &entry : *entries)
    printEntry(context, entry);
  return base::ok();
}

base::Result<void> runStatus(CommandContext &context, Arguments arguments) {
  const auto &text = arguments[0];
  std::uint64_t index = 0;
  const char *last = text.data() + text.size();
  auto [end, ec] = std::from_chars(text.data(), last, index);
  if (text.empty() || ec != std::errc() || end != last)
    return failUsage("INDEX must be an index printed by set or delete");
  auto deadline = base::readMonotonic() + context.Flags.Timeout;
  for (;;) {
    auto answer = context.Api.get(fmt::format("/v1/status?index={}", index));
    if (!answer)
      return base::fail(answer.error());
    const auto *pending = findList(answer.value(), "pending");
    if (!pending)
      return failMissingField("pending");
    bool done = pending->empty() || !context.Flags.Wait;
    if (done || base::readMonotonic() >= deadline) {
      printAnswer(context, answer.value());
      if (done)
        return base::ok();
      return base::fail(ResultCode::PeerTimeout,
                        fmt::format("the change is not yet in force on {} VMs",
                                    pending->size()));
    }
    std::this_thread::sleep_for(StatusPause);
  }
}

} // namespace magnoliamill::millctl

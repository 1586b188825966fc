// Checks the address of a target that lost requests, once for all of them.
#include "node/CrashWatch.h"

#include "base/Log.h"
#include "base/Metrics.h"
#include "gateway/ListenerCheck.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <set>

namespace magnoliamill::node {
namespace {

/// A process that has ended refuses connections within a round trip. Without an
/// answer the network may be at fault.
constexpr base::Duration CheckTime = std::chrono::milliseconds(500);

} // namespace

std::string formatContent(std::uint64_t content) {
  return fmt::format("{:016x}", content);
}

CrashWatch::~CrashWatch() = default;

void CrashWatch::onLost(const std::string &target,
                        const gateway::TargetAddress &address,
                        std::uint64_t content, std::string_view id) {
  auto [it, added] = Checks.try_emplace(target);
  it->second.push_back({content, std::string(id)});
  if (!added)
    return;
  gateway::checkListener(EventLoop.context(), address, CheckTime,
                         [this, target, alive = std::weak_ptr(IsAlive)](
                             gateway::ListenerState state) {
                           if (alive.expired())
                             return;
                           const auto lost =
                               std::move(Checks.extract(target).mapped());
                           if (state == gateway::ListenerState::Refused)
                             onEnded(target, lost);
                         });
}

void CrashWatch::onEnded(const std::string &target,
                         const std::vector<LostRequest> &lost) {
  base::counter("mill_target_crashes_total",
                "Targets that ended while they had requests of this VM.")
      .Increment();
  for (const auto &request : lost)
    base::logWarning(Component, base::ResultCode::TargetReset,
                     "a target has ended while it had a request",
                     {{"target", target},
                      {"request", request.Id},
                      {"content", formatContent(request.Content)},
                      {"requests", lost.size()}});
  dispatch::CrashReport report;
  for (const auto &request : lost)
    report.Crashes.push_back({request.Content, target, {}});
  const auto news = merge(report);
  if (!news.empty() && Report)
    Report(news);
}

dispatch::CrashReport CrashWatch::merge(const dispatch::CrashReport &report) {
  const auto now = base::readMonotonic();
  auto news = dispatch::mergeReport(report, now, Quarantine);
  std::set<std::uint64_t> refused;
  for (const auto &crash : news.Crashes)
    if (Quarantine.endOf(crash.Content, now))
      refused.insert(crash.Content);
  base::gauge("mill_quarantined_requests",
              "Requests that are refused because targets ended under them.")
      .Set(static_cast<double>(Quarantine.countRefused(now)));
  for (const auto content : refused)
    base::logWarning(
        Component, base::ResultCode::NotRunQuarantined,
        "a request is refused from now on, targets have ended under it",
        {{"content", formatContent(content)},
         {"refused_s",
          base::toMs(dispatch::RequestQuarantine::Lifetime) / 1000}});
  for (const auto content : news.Cleared)
    base::logInfo(Component, "a request under which targets ended is answered",
                  {{"content", formatContent(content)}});
  return news;
}

void CrashWatch::onAnswered(std::uint64_t content) {
  if (!Quarantine.isKnown(content))
    return;
  const auto news = merge({{}, {content}});
  if (!news.empty() && Report)
    Report(news);
}

void CrashWatch::onReport(const dispatch::CrashReport &report) {
  merge(report);
}

dispatch::CrashReport CrashWatch::describe() const {
  const auto now = base::readMonotonic();
  return dispatch::makeReport(Quarantine.list(now), now);
}

} // namespace magnoliamill::node

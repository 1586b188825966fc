// The dispatcher's part in finding requests that end targets: what it reports,
// and what it shares with the other VMs.
#include "base/Hash.h"
#include "node/DispatchFlow.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace magnoliamill::node {
namespace {

std::string encodeReport(const dispatch::CrashReport &report) {
  boost::json::array crashes;
  for (const auto &crash : report.Crashes)
    crashes.push_back({crash.Content, crash.Target, base::toMs(crash.Age)});
  boost::json::array cleared;
  for (const auto content : report.Cleared)
    cleared.push_back(content);
  return boost::json::serialize(boost::json::object{
      {"crashes", std::move(crashes)}, {"cleared", std::move(cleared)}});
}

base::Result<dispatch::CrashReport> decodeReport(std::string_view text) {
  boost::system::error_code ec;
  const auto parsed = boost::json::parse(text, ec);
  if (ec || !parsed.is_object())
    return base::fail(base::ResultCode::PeerProtocol,
                      "the report on crashes is not JSON");
  try {
    dispatch::CrashReport report;
    for (const auto &crash : parsed.at("crashes").as_array())
      report.Crashes.push_back(
          {crash.at(0).to_number<std::uint64_t>(),
           boost::json::value_to<std::string>(crash.at(1)),
           std::chrono::milliseconds(crash.at(2).to_number<std::int64_t>())});
    for (const auto &content : parsed.at("cleared").as_array())
      report.Cleared.push_back(content.to_number<std::uint64_t>());
    return report;
  } catch (const std::exception &error) {
    return base::fail(base::ResultCode::PeerProtocol, error.what());
  }
}

/// Hash of what a request contains and of the client account that sends it.
std::uint64_t hashContent(const protocol::ForwardRequest &request) {
  auto hash = base::hash64(request.Service.Value);
  for (const std::string_view part :
       {std::string_view(request.ClientAccount.Value),
        std::string_view(request.Method), std::string_view(request.Target),
        std::string_view(request.Body)})
    hash = base::hash64(part, hash);
  return hash;
}

} // namespace

bool DispatchFlow::refuseIfQuarantined(const OpenRequestPtr &open) {
  const auto &quarantine = Crashes.quarantine();
  if (quarantine.isEmpty())
    return false;
  const auto now = base::readMonotonic();
  const auto end = quarantine.endOf(hashContent(open->Request), now);
  if (!end)
    return false;
  fail(open, {base::ResultCode::NotRunQuarantined,
              "several targets have ended while they had this request",
              static_cast<std::uint32_t>(base::toMs(*end - now))});
  return true;
}

void DispatchFlow::watchForCrash(const OpenRequestPtr &open,
                                 const gateway::TargetOutcome &outcome) {
  constexpr std::uint16_t FirstServerError = 500;
  if (outcome.Answered) {
    if (outcome.Status < FirstServerError && !Crashes.quarantine().isEmpty())
      Crashes.onAnswered(hashContent(open->Request));
    return;
  }
  const auto target = Ownership->Targets.find(open->Target);
  if (!outcome.MayHaveRun || target == Ownership->Targets.end() ||
      outcome.Code == base::ResultCode::TargetTimeout)
    return;
  Crashes.onLost(open->Target.Value, {target->second.Host, target->second.Port},
                 hashContent(open->Request), open->Request.Id.Value);
}

bool DispatchFlow::mayRetryAfterCrash(const OpenRequestPtr &open) const {
  const auto &quarantine = Crashes.quarantine();
  return quarantine.isEmpty() ||
         quarantine.mayRetry(hashContent(open->Request), base::readMonotonic());
}

void DispatchFlow::shareCrashes(const dispatch::CrashReport &report) {
  for (const auto &[vm, view] : Settings->Vms) {
    if (vm == Config.Self)
      continue;
    // The answer is what the other VM knows.
    Hooks.Ledger.QueryVm(
        vm, {std::string(CrashQuery), encodeReport(report)},
        [this](const base::Result<protocol::QueryReply> &reply) {
          auto known = reply ? decodeReport(reply.value().Document)
                             : base::Result<dispatch::CrashReport>(
                                   base::fail(reply.error()));
          if (known)
            EventLoop.postReply([this, report = std::move(known.value())] {
              Crashes.onReport(report);
            });
        });
  }
}

void DispatchFlow::exchangeCrashes(
    const std::string &text, protocol::Reply<protocol::QueryReply> reply) {
  auto report = decodeReport(text);
  if (!report)
    return reply(base::fail(report.error()));
  EventLoop.postReply(
      [this, report = std::move(report.value()), reply = std::move(reply)] {
        Crashes.onReport(report);
        reply(protocol::QueryReply{encodeReport(Crashes.describe())});
      });
}

} // namespace magnoliamill::node

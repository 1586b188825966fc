// Routes control API calls, and reads and changes settings.
#include "node/OperatorApi.h"

#include "base/HttpStatus.h"
#include "node/internal/ApiParameters.h"
#include "settings/Schema.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace magnoliamill::node {
namespace {

using gateway::ApiReply;
using gateway::ApiRequest;

constexpr std::uint64_t MaxWatchWaitMs = 60000;
constexpr std::size_t MaxWatchers = 256;
constexpr std::size_t MaxChangeIdBytes = 128;

ApiReply failure(base::ResultCode code, std::string message) {
  return gateway::renderFailure({code, std::move(message), 0});
}

ApiReply document(const boost::json::value &value) {
  ApiReply reply;
  reply.Body = boost::json::serialize(value);
  return reply;
}

} // namespace

OperatorApi::OperatorApi(const settings::NodeSettings &node,
                         SettingsParticipant &settings,
                         DataCentreParticipant &datacentre, QueryVm query)
    : Node(node), Settings(settings), DataCentre(datacentre),
      Query(std::move(query)) {}

void OperatorApi::handle(ApiRequest request, Respond respond) {
  std::string path = request.Path;
  if (path == "/targets/announce") {
    announce(std::move(request), respond);
    return;
  }
  auto principal = settings::authenticate(
      request.AccessToken, Node.AdminTokenSha256, *Settings.view());
  if (!principal) {
    respond(failure(base::ResultCode::AccessDenied,
                    "send Authorization: Bearer TOKEN"));
    return;
  }
  auto parameters = internal::parseQuery(request.Query);
  if (path.starts_with("/settings/")) {
    handleSettings(request, internal::decodePercent(path.substr(9)), parameters,
                   *principal, std::move(respond));
    return;
  }
  std::string prefix = path.starts_with("/list/")
                           ? internal::decodePercent(path.substr(5))
                           : internal::readText(parameters, "prefix");
  bool scoped =
      path.starts_with("/list/") || path == "/watch" || path == "/audit";
  if (scoped && !settings::mayAccess(*principal, prefix)) {
    respond(failure(base::ResultCode::AccessDenied,
                    "the token is only valid for the subtree of its team"));
    return;
  }
  if (request.Method != "GET")
    respond(failure(base::ResultCode::UnknownRoute, "use GET"));
  else if (path.starts_with("/list/"))
    list(prefix, respond);
  else if (path == "/audit")
    audit(parameters, respond);
  else if (path == "/watch")
    watch(parameters, std::move(respond));
  else if (path == "/status")
    status(parameters, std::move(respond));
  else if (path == "/targets")
    targets(parameters, respond);
  else if (path == "/owners")
    owners(parameters, respond);
  else if (path == "/members")
    members(respond);
  else
    respond(failure(base::ResultCode::UnknownRoute, "no such resource"));
}

void OperatorApi::handleSettings(const ApiRequest &request,
                                 const std::string &path,
                                 const Parameters &parameters,
                                 const settings::Principal &principal,
                                 Respond respond) {
  if (!settings::mayAccess(principal, path)) {
    respond(failure(base::ResultCode::AccessDenied,
                    "the token is only valid for the subtree of its team"));
    return;
  }
  if (request.Method == "GET") {
    auto stored = Settings.machine().get(path);
    if (!stored) {
      respond(failure(stored.error().Code, stored.error().Message));
      return;
    }
    respond(document({{"path", stored.value().Path},
                      {"value", boost::json::parse(stored.value().Value)},
                      {"version", stored.value().Version},
                      {"index", Settings.inForce()}}));
    return;
  }
  settings::ChangeOrigin origin{request.ChangeId, principal.who(),
                                base::readWallMs()};
  if (origin.ChangeId.empty() || origin.ChangeId.size() > MaxChangeIdBytes) {
    respond(failure(base::ResultCode::ValueInvalid,
                    "send Mill-Change-Id, 1 to 128 characters"));
    return;
  }
  if (request.Method == "DELETE") {
    auto version = internal::readNumber(parameters, "expected_version", 0);
    if (!version || *version == 0)
      respond(failure(base::ResultCode::ValueInvalid,
                      "expected_version must be the version that was read"));
    else
      change(settings::DeleteValue{origin, path, *version}, respond);
    return;
  }
  if (request.Method != "PUT") {
    respond(failure(base::ResultCode::UnknownRoute, "use GET, PUT or DELETE"));
    return;
  }
  boost::system::error_code ec;
  auto body = boost::json::parse(request.Body, ec);
  bool complete = !ec && body.is_object() &&
                  body.as_object().contains("value") &&
                  body.as_object().contains("expected_version");
  if (!complete || !body.at("expected_version").is_int64() ||
      body.at("expected_version").as_int64() < 0) {
    respond(failure(base::ResultCode::JsonMalformed,
                    "the body must be {\"value\": ..., \"expected_version\": "
                    "N}; 0 for a path that must not exist"));
    return;
  }
  settings::SetValue set;
  set.Origin = std::move(origin);
  set.Path = path;
  set.Value = boost::json::serialize(body.at("value"));
  set.ExpectedVersion =
      static_cast<std::uint64_t>(body.at("expected_version").as_int64());
  change(std::move(set), respond);
}

void OperatorApi::change(settings::Command command, const Respond &respond) {
  Settings.propose(
      command, [respond](const base::Result<settings::ChangeOutcome> &outcome) {
        if (!outcome) {
          respond(failure(outcome.error().Code, outcome.error().Message));
          return;
        }
        ApiReply reply;
        reply.Status = base::httpStatusOf(outcome.value().Code);
        reply.Body = settings::renderOutcome(outcome.value());
        respond(std::move(reply));
      });
}

void OperatorApi::list(const std::string &prefix,
                       const Respond &respond) const {
  boost::json::array entries;
  for (const auto &stored : Settings.machine().list(prefix))
    entries.push_back({{"path", stored.Path}, {"version", stored.Version}});
  respond(document({{"entries", std::move(entries)}}));
}

void OperatorApi::audit(const Parameters &parameters,
                        const Respond &respond) const {
  auto after = internal::readNumber(parameters, "after", 0);
  auto limit = internal::readNumber(parameters, "limit", 100);
  if (!after || !limit) {
    respond(failure(base::ResultCode::BadRequest,
                    "after and limit must be numbers"));
    return;
  }
  settings::AuditQuery query;
  query.Prefix = internal::readText(parameters, "prefix");
  query.After = *after;
  query.Limit = *limit;
  boost::json::array entries;
  for (const auto &entry : Settings.machine().audit(query))
    entries.push_back(boost::json::parse(settings::renderAuditEntry(entry)));
  respond(document({{"entries", std::move(entries)},
                    {"dropped_up_to", Settings.machine().auditDroppedUpTo()}}));
}

std::string OperatorApi::renderChanges(const Watcher &watcher,
                                       bool &any) const {
  settings::AuditQuery query;
  query.Prefix = watcher.Prefix;
  query.After = watcher.After;
  boost::json::array changes;
  consensus::LogIndex index =
      std::max(watcher.After, Settings.machine().appliedIndex());
  for (const auto &entry : Settings.machine().audit(query))
    if (entry.Code == base::ResultCode::Ok)
      changes.push_back(boost::json::parse(settings::renderAuditEntry(entry)));
  any = !changes.empty();
  return boost::json::serialize(
      boost::json::value({{"index", index}, {"changes", std::move(changes)}}));
}

void OperatorApi::watch(const Parameters &parameters, Respond respond) {
  auto after = internal::readNumber(parameters, "after", 0);
  auto wait = internal::readNumber(parameters, "wait_ms", 0);
  if (!after || !wait || Watchers.size() >= MaxWatchers) {
    respond(failure(
        base::ResultCode::BadRequest,
        "after and wait_ms must be numbers, or there are too many watchers"));
    return;
  }
  Watcher watcher;
  watcher.After = *after;
  watcher.Prefix = internal::readText(parameters, "prefix");
  watcher.Until = base::readMonotonic() +
                  std::chrono::milliseconds(std::min(*wait, MaxWatchWaitMs));
  watcher.Reply = std::move(respond);
  Watchers.push_back(std::move(watcher));
  answerWatchers();
}

void OperatorApi::answerWatchers() {
  auto now = base::readMonotonic();
  std::vector<Watcher> waiting;
  waiting.swap(Watchers);
  for (auto &watcher : waiting) {
    bool any = false;
    ApiReply reply;
    reply.Body = renderChanges(watcher, any);
    if (any || now >= watcher.Until)
      watcher.Reply(std::move(reply));
    else
      Watchers.push_back(std::move(watcher));
  }
}

std::string OperatorApi::renderStatus(consensus::LogIndex index) const {
  boost::json::array InForceVms;
  boost::json::array pending;
  const auto &known = Settings.inForceByVm();
  for (const auto &[id, vm] : Settings.view()->Vms) {
    auto it = known.find(id);
    bool has = id == Node.Vm ? Settings.inForce() >= index
                             : it != known.end() && it->second >= index;
    (has ? InForceVms : pending).push_back(boost::json::value(id.Value));
  }
  return boost::json::serialize(boost::json::value(
      {{"index", index}, {"in_force", InForceVms}, {"pending", pending}}));
}

void OperatorApi::status(const Parameters &parameters, Respond respond) {
  auto index = internal::readNumber(parameters, "index", 0);
  if (!index) {
    respond(failure(base::ResultCode::BadRequest, "index must be a number"));
    return;
  }
  if (Settings.isLeader()) {
    ApiReply reply;
    reply.Body = renderStatus(*index);
    respond(std::move(reply));
    return;
  }
  base::VmId replica = Settings.chooseReplica();
  if (replica.empty()) {
    respond(failure(base::ResultCode::NoQuorum, "no replica answers"));
    return;
  }
  // All VMs report to the replicas.
  Query(replica, {"status", std::to_string(*index)},
        [respond](const base::Result<protocol::QueryReply> &answer) {
          if (!answer) {
            respond(failure(answer.error().Code, answer.error().Message));
            return;
          }
          ApiReply reply;
          reply.Body = answer.value().Document;
          respond(std::move(reply));
        });
}

} // namespace magnoliamill::node

// The control API's calls for targets, owners and members.
#include "node/OperatorApi.h"

#include "base/Hash.h"
#include "node/internal/ApiParameters.h"
#include "ownership/Announcement.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace magnoliamill::node {
namespace {

using gateway::ApiReply;

ApiReply failure(base::ResultCode code, std::string message) {
  return gateway::renderFailure({code, std::move(message), 0});
}

std::string_view nameOf(ownership::TargetState state) {
  switch (state) {
  case ownership::TargetState::Active:
    return "active";
  case ownership::TargetState::Leaving:
    return "leaving";
  case ownership::TargetState::Lost:
    return "lost";
  }
  return "unknown";
}

boost::json::array
renderReplicas(const std::vector<consensus::ReplicaId> &all) {
  boost::json::array out;
  for (const auto &replica : all)
    out.push_back(
        {{"vm", replica.Vm.Value}, {"incarnation", replica.Incarnation}});
  return out;
}

boost::json::value
renderMembership(const std::optional<consensus::Membership> &membership) {
  if (!membership)
    return nullptr;
  return {{"voters", renderReplicas(membership->Voters)},
          {"learners", renderReplicas(membership->Learners)}};
}

} // namespace

void OperatorApi::targets(const Parameters &parameters,
                          const Respond &respond) const {
  std::string service = internal::readText(parameters, "service");
  auto view = DataCentre.view();
  std::map<base::TargetInstanceId, std::uint32_t> owned;
  for (const auto &[id, slots] : view->Slots)
    for (const auto &slot : slots)
      ++owned[slot.Owner];
  boost::json::array entries;
  for (const auto &[id, target] : view->Targets) {
    if (!service.empty() && target.Service.Value != service)
      continue;
    entries.push_back({{"instance", id.Value},
                       {"name", target.Name},
                       {"service", target.Service.Value},
                       {"host", target.Host},
                       {"port", target.Port},
                       {"slots", target.Slots},
                       {"state", nameOf(target.State)},
                       {"dispatcher", target.Dispatcher.Value},
                       {"owned_slots", owned[id]}});
  }
  ApiReply reply;
  reply.Body = boost::json::serialize(boost::json::value(
      {{"data_centre", Node.DataCentre.Value}, {"targets", entries}}));
  respond(std::move(reply));
}

void OperatorApi::owners(const Parameters &parameters,
                         const Respond &respond) const {
  base::ServiceId service(internal::readText(parameters, "service"));
  std::string key = internal::readText(parameters, "key");
  auto settings = Settings.view();
  auto it = settings->Services.find(service);
  if (it == settings->Services.end() || !it->second.Keyed || key.empty()) {
    respond(failure(base::ResultCode::UnknownService,
                    "name a keyed service and a key"));
    return;
  }
  auto slot = base::slotOfKey(service, key, it->second.Slots);
  boost::json::object out{
      {"service", service.Value}, {"key", key}, {"slot", slot}};
  auto homes = settings->Homes.find(service);
  std::string home;
  if (homes != settings->Homes.end() && slot < homes->second.size())
    home = homes->second[slot].Home.Value;
  out["data_centre"] = home;
  auto view = DataCentre.view();
  auto slots = view->Slots.find(service);
  bool local = home == Node.DataCentre.Value && slots != view->Slots.end() &&
               slot < slots->second.size();
  if (!local) {
    // Only the VMs of the home data centre know the owner.
    out["owner"] = nullptr;
    out["hint"] = "ask a VM of data centre " + home;
  } else {
    const auto &owned = slots->second[slot];
    out["owner"] = owned.Owner.Value;
    out["token"] = base::formatToken(owned.Token);
    auto target = view->Targets.find(owned.Owner);
    if (target != view->Targets.end()) {
      out["dispatcher"] = target->second.Dispatcher.Value;
      out["name"] = target->second.Name;
    }
  }
  ApiReply reply;
  reply.Body = boost::json::serialize(out);
  respond(std::move(reply));
}

void OperatorApi::members(const Respond &respond) const {
  boost::json::array vms;
  for (const auto &[id, vm] : Settings.view()->Vms)
    vms.push_back({{"vm", id.Value},
                   {"data_centre", vm.DataCentre.Value},
                   {"host", vm.Host},
                   {"peer_port", vm.PeerPort},
                   {"http_port", vm.HttpPort},
                   {"disk", vm.HasDisk}});
  ApiReply reply;
  reply.Body = boost::json::serialize(boost::json::value(
      {{"vm", Node.Vm.Value},
       {"vms", vms},
       {"settings_group",
        {{"leader", Settings.leader().Value},
         {"members", renderMembership(Settings.membership())}}},
       {"data_centre_group",
        {{"leader", DataCentre.leader().Value},
         {"epoch", DataCentre.epoch()},
         {"members", renderMembership(DataCentre.membership())}}}}));
  respond(std::move(reply));
}

void OperatorApi::announce(gateway::ApiRequest request,
                           const Respond &respond) {
  if (request.Method != "POST") {
    respond(failure(base::ResultCode::UnknownRoute, "use POST"));
    return;
  }
  auto target = ownership::parseAnnouncement(request.Body);
  if (!target) {
    respond(failure(target.error().Code, target.error().Message));
    return;
  }
  const auto &allowed = Node.AllowedTargetHosts;
  if (!settings::isHostAllowed(request.From, allowed) ||
      !settings::isHostAllowed(target.value().Host, allowed)) {
    respond(failure(base::ResultCode::TargetNotAllowed,
                    "the settings do not allow this address"));
    return;
  }
  constexpr std::uint32_t Tries = 3;
  DataCentre.announce(
      {std::move(request.Body)}, Tries,
      [respond](const base::Result<protocol::AnnounceReply> &answer) {
        if (!answer) {
          respond(failure(answer.error().Code, answer.error().Message));
          return;
        }
        ApiReply reply;
        reply.Body = answer.value().Reply;
        respond(std::move(reply));
      });
}

} // namespace magnoliamill::node

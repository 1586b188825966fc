// Leases, target announcements and the controller's proposals, and how other
// VMs reach the leader for them.
#include "node/DataCentreParticipant.h"

#include "base/Log.h"

#include <boost/json/serialize.hpp>

namespace magnoliamill::node {

void DataCentreParticipant::stepController(
    const ownership::ControllerEvent &event) {
  perform(Controller.step(event, base::readMonotonic()));
}

void DataCentreParticipant::perform(ownership::ControllerActions actions) {
  for (const auto &command : actions.Propose)
    if (Runner)
      // The controller decides from the view, so it repeats a proposal that was
      // lost.
      Runner->propose(ownership::encodeCommand(command), [](const auto &) {});
  for (const auto &slot : actions.HomesReleased) {
    auto homes = Settings->Homes.find(slot.Service);
    if (homes == Settings->Homes.end() || slot.Slot >= homes->second.size())
      continue;
    settings::FinishHomeMove finish;
    finish.WhenMs = base::readWallMs();
    finish.Slot = slot;
    finish.Epoch = homes->second[slot.Slot].Epoch;
    finish.From = Node.DataCentre;
    Hooks.ReleaseHome(std::move(finish));
  }
}

void DataCentreParticipant::handleLeaseRequest(
    protocol::LeaseRequest request,
    protocol::Reply<protocol::LeaseReply> reply) {
  if (!leadsWithLease()) {
    reply(base::fail(base::ResultCode::NotLeader, leader().Value));
    return;
  }
  updateLeadership();
  auto report = ownership::parseReport(request.Report);
  if (!report) {
    reply(base::fail(report.error()));
    return;
  }
  ownership::LeaseRequested renewed{request.Vm, request.Incarnation,
                                    request.Leaving, std::move(report.value())};
  auto actions = Controller.step(renewed, base::readMonotonic());
  protocol::LeaseReply answer;
  answer.SentAtUs = request.SentAtUs;
  answer.Granted = actions.LeaseGranted.has_value();
  if (actions.LeaseGranted)
    answer.DurationMs =
        static_cast<std::uint32_t>(base::toMs(*actions.LeaseGranted));
  perform(std::move(actions));
  reply(answer);
}

void DataCentreParticipant::renewLease(
    protocol::LeaseRequest request,
    protocol::Reply<protocol::LeaseReply> reply) {
  if (isLeader()) {
    handleLeaseRequest(std::move(request), std::move(reply));
    return;
  }
  // A replica knows the leader from consensus messages.
  base::VmId vm = leader();
  if (vm.empty())
    vm = Finder.choose(replicas());
  if (vm.empty()) {
    reply(base::fail(base::ResultCode::PeerUnreachable, "no replica known"));
    return;
  }
  Hooks.RequestLeaseFrom(
      vm, std::move(request),
      [this, vm, reply](base::Result<protocol::LeaseReply> answer) {
        EventLoop.postReply([this, vm, reply, answer] {
          if (answer)
            Finder.onAnswer(vm);
          else
            Finder.onFailure(vm, answer.error());
          reply(answer);
        });
      });
}

void DataCentreParticipant::handleAnnounce(
    protocol::AnnounceRequest request,
    protocol::Reply<protocol::AnnounceReply> reply) {
  if (!leadsWithLease()) {
    reply(base::fail(base::ResultCode::NotLeader, leader().Value));
    return;
  }
  updateLeadership();
  auto target = ownership::parseAnnouncement(request.Announcement);
  if (!target) {
    reply(base::fail(target.error()));
    return;
  }
  auto actions = Controller.step(
      ownership::Announced{std::move(target.value())}, base::readMonotonic());
  auto refused = actions.AnnouncementRefused;
  perform(std::move(actions));
  if (refused)
    reply(base::fail(*refused));
  else
    reply(protocol::AnnounceReply{"{\"accepted\":true}"});
}

void DataCentreParticipant::announce(
    protocol::AnnounceRequest request, std::uint32_t tries,
    protocol::Reply<protocol::AnnounceReply> reply) {
  if (isLeader()) {
    handleAnnounce(std::move(request), std::move(reply));
    return;
  }
  base::VmId vm = leader();
  if (vm.empty())
    vm = Finder.choose(replicas());
  if (vm.empty()) {
    reply(base::fail(base::ResultCode::NotRunNotReady,
                     "the data-centre group has not started"));
    return;
  }
  auto done = [this, vm, request, tries,
               reply](base::Result<protocol::AnnounceReply> answer) {
    EventLoop.postReply([this, vm, request, tries, reply, answer] {
      if (answer)
        Finder.onAnswer(vm);
      else
        Finder.onFailure(vm, answer.error());
      bool again = !answer && tries > 1 &&
                   answer.error().Code == base::ResultCode::NotLeader;
      if (again)
        announce(request, tries - 1, reply);
      else
        reply(answer);
    });
  };
  Hooks.AnnounceTo(vm, request, done);
}

} // namespace magnoliamill::node

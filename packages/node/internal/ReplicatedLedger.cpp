// Sends ledger requests for a key to the VMs that hold it and collects the
// replies.
#include "node/ReplicatedLedger.h"

#include "base/Hash.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliamill::node {
namespace {

// Number of VMs that hold a key.
constexpr std::size_t ReplicasPerKey = 3;
constexpr base::Duration SynchronizeInterval = std::chrono::milliseconds(500);

protocol::LedgerRequest makeStep(protocol::LedgerStep step,
                                 const protocol::ForwardRequest &request,
                                 const base::VmId &dispatcher) {
  protocol::LedgerRequest out;
  out.Step = step;
  out.Service = request.Service;
  out.IdempotencyKey = request.IdempotencyKey;
  out.Request = base::RequestId(request.Id.Value + "@" + dispatcher.Value);
  return out;
}

} // namespace

ReplicatedLedger::ReplicatedLedger(base::EventLoopThread &eventloop,
                                   base::VmId self,
                                   base::DataCentreId datacentre,
                                   ReplicatedLedgerHooks hooks)
    : EventLoop(eventloop), Self(std::move(self)),
      DataCentre(std::move(datacentre)), Hooks(std::move(hooks)),
      LocalLedger({}, base::readMonotonic()),
      Settings(std::make_shared<settings::View>()), Timer(eventloop.context()) {
}

void ReplicatedLedger::setSettings(settings::ViewPtr view) {
  bool first = Settings->Vms.empty() && !view->Vms.empty();
  Settings = std::move(view);
  if (first)
    synchronize();
}

std::vector<base::VmId> ReplicatedLedger::otherVms() const {
  std::vector<base::VmId> found;
  for (const auto &[id, vm] : Settings->Vms)
    if (vm.DataCentre == DataCentre && id != Self)
      found.push_back(id);
  return found;
}

std::vector<base::VmId>
ReplicatedLedger::vmsOfKey(const base::ServiceId &service,
                           const std::string &key) const {
  // Rendezvous hashing (highest random weight): every VM of the data centre
  // chooses the same VMs.
  std::vector<base::VmId> vms = otherVms();
  vms.push_back(Self);
  auto weight = [seed = base::hash64(key, base::hash64(service.Value))](
                    const base::VmId &vm) {
    return base::hash64(vm.Value, seed);
  };
  std::ranges::sort(vms, std::ranges::greater{}, weight);
  vms.resize(std::min(vms.size(), ReplicasPerKey));
  return vms;
}

void ReplicatedLedger::begin(const protocol::ForwardRequest &request,
                             DecisionCallback decided) {
  auto vms = vmsOfKey(request.Service, request.IdempotencyKey);
  auto step = makeStep(protocol::LedgerStep::Begin, request, Self);
  struct Round {
    explicit Round(std::size_t voters) : Quorum(voters) {}
    dispatch::LedgerQuorum Quorum;
    bool Done = false;
  };
  auto round = std::make_shared<Round>(vms.size());
  auto count = [round, decided = std::move(decided)](
                   const base::Result<protocol::LedgerReply> &reply) {
    round->Quorum.add(reply);
    auto decision = round->Quorum.decision();
    if (round->Done || decision == dispatch::LedgerDecision::Pending)
      return;
    round->Done = true;
    decided(decision, round->Quorum.stored());
  };
  for (const auto &vm : vms) {
    if (vm == Self) {
      count(LocalLedger.handle(step, base::readMonotonic()));
      continue;
    }
    Hooks.SendLedgerRequest(
        vm, step, [this, count](base::Result<protocol::LedgerReply> reply) {
          EventLoop.postReply([count, reply] { count(reply); });
        });
  }
}

void ReplicatedLedger::sendToVmsOfKey(const protocol::LedgerRequest &request) {
  for (const auto &vm : vmsOfKey(request.Service, request.IdempotencyKey)) {
    if (vm == Self)
      (void)LocalLedger.handle(request, base::readMonotonic());
    else
      Hooks.SendLedgerRequest(vm, request, [](const auto &) {});
  }
}

void ReplicatedLedger::finish(const protocol::ForwardRequest &request,
                              std::uint16_t status,
                              std::vector<protocol::HttpHeader> headers,
                              std::string body) {
  auto step = makeStep(protocol::LedgerStep::Finish, request, Self);
  step.Status = status;
  step.Headers = std::move(headers);
  step.Body = std::move(body);
  sendToVmsOfKey(step);
}

void ReplicatedLedger::forget(const protocol::ForwardRequest &request) {
  sendToVmsOfKey(makeStep(protocol::LedgerStep::Forget, request, Self));
}

void ReplicatedLedger::handle(
    const protocol::LedgerRequest &request,
    const protocol::Reply<protocol::LedgerReply> &reply) {
  reply(LocalLedger.handle(request, base::readMonotonic()));
}

base::Result<protocol::QueryReply> ReplicatedLedger::renderKeys() const {
  if (!LocalLedger.isComplete(base::readMonotonic()))
    return base::fail(base::ResultCode::NotRunNotReady,
                      "the ledger of this VM is not complete");
  boost::json::array keys;
  for (const auto &key : LocalLedger.listKeys())
    keys.push_back({key.Service.Value, key.Key, key.Request.Value});
  return protocol::QueryReply{boost::json::serialize(keys)};
}

void ReplicatedLedger::synchronize() {
  if (LocalLedger.isComplete(base::readMonotonic()))
    return;
  for (const auto &vm : otherVms()) {
    if (ImportedFrom.contains(vm))
      continue;
    Hooks.QueryVm(vm, {"ledger-keys", ""},
                  [this, vm](base::Result<protocol::QueryReply> answer) {
                    EventLoop.postReply(
                        [this, vm, answer] { onKeys(vm, answer); });
                  });
  }
  Timer.expires_after(SynchronizeInterval);
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      synchronize();
  });
}

void ReplicatedLedger::onKeys(
    const base::VmId &from, const base::Result<protocol::QueryReply> &answer) {
  if (!answer)
    return;
  boost::system::error_code ec;
  auto parsed = boost::json::parse(answer.value().Document, ec);
  // A VM whose own ledger is not complete fails the query, so only an answer
  // counts as imported.
  if (ec || !parsed.is_array())
    return;
  std::vector<dispatch::LedgerKey> keys;
  for (const auto &item : parsed.as_array()) {
    const auto &fields = item.as_array();
    keys.push_back({base::ServiceId(std::string(fields.at(0).as_string())),
                    std::string(fields.at(1).as_string()),
                    base::RequestId(std::string(fields.at(2).as_string()))});
  }
  LocalLedger.importKeys(keys, base::readMonotonic());
  ImportedFrom.insert(from);
  auto expected = otherVms();
  // A key from before the restart may have been held only here and at one other
  // VM, so the keys of all of them are needed.
  if (!expected.empty() &&
      std::ranges::all_of(expected, [this](const auto &vm) {
        return ImportedFrom.contains(vm);
      }))
    LocalLedger.setComplete();
}

} // namespace magnoliamill::node

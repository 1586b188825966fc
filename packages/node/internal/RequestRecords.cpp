// Spreads the steps of a key over its VMs and collects the replies.
#include "node/RequestRecords.h"

#include "base/Hash.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace magnoliamill::node {
namespace {

// VMs that keep one key.
constexpr std::size_t Keepers = 3;
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

RequestRecords::RequestRecords(base::EventLoopThread &duty, base::VmId self,
                               base::DataCentreId centre,
                               RequestRecordsHooks hooks)
    : Duty(duty), Self(std::move(self)), Centre(std::move(centre)),
      Hooks(std::move(hooks)), Store({}, base::readMonotonic()),
      Settings(std::make_shared<settings::View>()), Timer(duty.context()) {}

void RequestRecords::setSettings(settings::ViewPtr view) {
  bool first = Settings->Vms.empty() && !view->Vms.empty();
  Settings = std::move(view);
  if (first)
    synchronize();
}

std::vector<base::VmId> RequestRecords::others() const {
  std::vector<base::VmId> found;
  for (const auto &[id, vm] : Settings->Vms)
    if (vm.DataCentre == Centre && id != Self)
      found.push_back(id);
  return found;
}

std::vector<base::VmId>
RequestRecords::keepersOf(const base::ServiceId &service,
                          const std::string &key) const {
  // Highest random weight: every VM of the data centre finds the same keepers.
  std::vector<base::VmId> vms = others();
  vms.push_back(Self);
  auto weight = [seed = base::hash64(key, base::hash64(service.Value))](
                    const base::VmId &vm) {
    return base::hash64(vm.Value, seed);
  };
  std::ranges::sort(vms, std::ranges::greater{}, weight);
  vms.resize(std::min(vms.size(), Keepers));
  return vms;
}

void RequestRecords::begin(const protocol::ForwardRequest &request,
                           Decided decided) {
  auto keepers = keepersOf(request.Service, request.IdempotencyKey);
  auto step = makeStep(protocol::LedgerStep::Begin, request, Self);
  struct Round {
    explicit Round(std::size_t voters) : Vote(voters) {}
    dispatch::LedgerQuorum Vote;
    bool Done = false;
  };
  auto round = std::make_shared<Round>(keepers.size());
  auto count = [round, decided = std::move(decided)](
                   const base::Result<protocol::LedgerReply> &reply) {
    round->Vote.add(reply);
    auto decision = round->Vote.decision();
    if (round->Done || decision == dispatch::LedgerDecision::Pending)
      return;
    round->Done = true;
    decided(decision, round->Vote.stored());
  };
  for (const auto &vm : keepers) {
    if (vm == Self) {
      count(Store.handle(step, base::readMonotonic()));
      continue;
    }
    Hooks.LedgerAt(vm, step,
                   [this, count](base::Result<protocol::LedgerReply> reply) {
                     Duty.postReply([count, reply] { count(reply); });
                   });
  }
}

void RequestRecords::sendAll(const protocol::LedgerRequest &request) {
  for (const auto &vm : keepersOf(request.Service, request.IdempotencyKey)) {
    if (vm == Self)
      (void)Store.handle(request, base::readMonotonic());
    else
      Hooks.LedgerAt(vm, request, [](const auto &) {});
  }
}

void RequestRecords::finish(const protocol::ForwardRequest &request,
                            std::uint16_t status,
                            std::vector<protocol::HttpHeader> headers,
                            std::string body) {
  auto step = makeStep(protocol::LedgerStep::Finish, request, Self);
  step.Status = status;
  step.Headers = std::move(headers);
  step.Body = std::move(body);
  sendAll(step);
}

void RequestRecords::forget(const protocol::ForwardRequest &request) {
  sendAll(makeStep(protocol::LedgerStep::Forget, request, Self));
}

void RequestRecords::handle(
    const protocol::LedgerRequest &request,
    const protocol::Reply<protocol::LedgerReply> &reply) {
  reply(Store.handle(request, base::readMonotonic()));
}

base::Result<protocol::QueryReply> RequestRecords::renderKeys() const {
  if (!Store.isComplete(base::readMonotonic()))
    return base::fail(base::ResultCode::NotRunNotReady,
                      "the ledger of this VM is not complete");
  boost::json::array keys;
  for (const auto &key : Store.listKeys())
    keys.push_back({key.Service.Value, key.Key, key.Request.Value});
  return protocol::QueryReply{boost::json::serialize(keys)};
}

void RequestRecords::synchronize() {
  if (Store.isComplete(base::readMonotonic()))
    return;
  for (const auto &vm : others()) {
    if (TakenOver.contains(vm))
      continue;
    Hooks.QueryAt(vm, {"ledger-keys", ""},
                  [this, vm](base::Result<protocol::QueryReply> answer) {
                    Duty.postReply([this, vm, answer] { onKeys(vm, answer); });
                  });
  }
  Timer.expires_after(SynchronizeInterval);
  Timer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      synchronize();
  });
}

void RequestRecords::onKeys(const base::VmId &from,
                            const base::Result<protocol::QueryReply> &answer) {
  if (!answer)
    return;
  boost::system::error_code ec;
  auto parsed = boost::json::parse(answer.value().Document, ec);
  // A VM that is not complete itself refuses: its silence proves nothing.
  if (ec || !parsed.is_array())
    return;
  std::vector<dispatch::LedgerKey> keys;
  for (const auto &item : parsed.as_array()) {
    const auto &fields = item.as_array();
    keys.push_back({base::ServiceId(std::string(fields.at(0).as_string())),
                    std::string(fields.at(1).as_string()),
                    base::RequestId(std::string(fields.at(2).as_string()))});
  }
  Store.importKeys(keys, base::readMonotonic());
  TakenOver.insert(from);
  auto all = others();
  // A key of the earlier life may have been kept here and at any one other VM,
  // so all of them have to be heard.
  if (!all.empty() && std::ranges::all_of(all, [this](const auto &vm) {
        return TakenOver.contains(vm);
      }))
    Store.setComplete();
}

} // namespace magnoliamill::node

// Records idempotency keys in the ledgers of several VMs of the data centre,
// and asks them before a request with a key may run.
#pragma once

#include "base/EventLoopThread.h"
#include "dispatch/Ledger.h"
#include "dispatch/LedgerQuorum.h"
#include "protocol/Messages.h"
#include "settings/View.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace magnoliamill::node {

struct ReplicatedLedgerHooks {
  std::function<void(const base::VmId &, protocol::LedgerRequest,
                     protocol::Reply<protocol::LedgerReply>)>
      SendLedgerRequest;
  /// Queries a VM for the keys in its ledger.
  std::function<void(const base::VmId &, protocol::QueryRequest,
                     protocol::Reply<protocol::QueryReply>)>
      QueryVm;
};

/// All methods run on the dispatch thread.
class ReplicatedLedger {
public:
  using DecisionCallback = std::function<void(
      dispatch::LedgerDecision, std::optional<protocol::LedgerReply>)>;

  ReplicatedLedger(base::EventLoopThread &eventloop, base::VmId self,
                   base::DataCentreId datacentre, ReplicatedLedgerHooks hooks);

  void setSettings(settings::ViewPtr view);
  /// To be called when the first group of this data centre starts while this VM
  /// runs: no request was dispatched before, so the local ledger is complete.
  void onFirstGroup() { LocalLedger.setComplete(); }

  /// Records the request's key; \p decided is called once, with the stored
  /// answer when there is one to replay.
  void begin(const protocol::ForwardRequest &request, DecisionCallback decided);
  void finish(const protocol::ForwardRequest &request, std::uint16_t status,
              std::vector<protocol::HttpHeader> headers, std::string body);
  /// Removes the request's key, because the request certainly did not run.
  void forget(const protocol::ForwardRequest &request);

  /// Handles another VM's request on the local ledger.
  void handle(const protocol::LedgerRequest &request,
              const protocol::Reply<protocol::LedgerReply> &reply);
  /// Returns the keys in the local ledger as JSON, for a VM that restarted
  /// without them. Fails with NotRunNotReady while the local ledger is itself
  /// not complete.
  base::Result<protocol::QueryReply> renderKeys() const;

private:
  std::vector<base::VmId> vmsOfKey(const base::ServiceId &service,
                                   const std::string &key) const;
  void sendToVmsOfKey(const protocol::LedgerRequest &request);
  void synchronize();
  void onKeys(const base::VmId &from,
              const base::Result<protocol::QueryReply> &answer);
  std::vector<base::VmId> otherVms() const;

  base::EventLoopThread &EventLoop;
  base::VmId Self;
  base::DataCentreId DataCentre;
  ReplicatedLedgerHooks Hooks;
  dispatch::Ledger LocalLedger;
  settings::ViewPtr Settings;
  boost::asio::steady_timer Timer;
  // VMs whose keys have been imported since the start.
  std::set<base::VmId> ImportedFrom;
};

} // namespace magnoliamill::node

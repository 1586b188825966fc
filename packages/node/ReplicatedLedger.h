// Keeps idempotency keys at several VMs of the data centre, and asks them
// before a request with a key may run.
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
      LedgerAt;
  /// Asks a VM for the keys that it holds.
  std::function<void(const base::VmId &, protocol::QueryRequest,
                     protocol::Reply<protocol::QueryReply>)>
      QueryAt;
};

/// All methods on the dispatch duty's thread.
class ReplicatedLedger {
public:
  using DecisionCallback = std::function<void(
      dispatch::LedgerDecision, std::optional<protocol::LedgerReply>)>;

  ReplicatedLedger(base::EventLoopThread &eventloop, base::VmId self,
                   base::DataCentreId datacentre, ReplicatedLedgerHooks hooks);

  void setSettings(settings::ViewPtr view);
  /// The first group of this data centre started while this VM ran: no request
  /// has been dispatched before, so nothing is forgotten.
  void onFirstGroup() { LocalLedger.setComplete(); }

  /// Records the request's key; \p decided is called once.
  void begin(const protocol::ForwardRequest &request, DecisionCallback decided);
  void finish(const protocol::ForwardRequest &request, std::uint16_t status,
              std::vector<protocol::HttpHeader> headers, std::string body);
  /// The request surely did not run: its key is free again.
  void forget(const protocol::ForwardRequest &request);

  /// Another VM's step.
  void handle(const protocol::LedgerRequest &request,
              const protocol::Reply<protocol::LedgerReply> &reply);
  /// The keys held here, as JSON, for a VM that lost its memory; fails with
  /// NotRunNotReady while this VM's own memory is not complete.
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
  // VMs whose keys have been taken over since the start.
  std::set<base::VmId> ImportedFrom;
};

} // namespace magnoliamill::node

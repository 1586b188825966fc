// Runs the dispatcher, the agent that renews the VM's lease and its targets'
// grants, and the calls to the targets, all on the dispatch thread.
#pragma once

#include "base/EventLoopThread.h"
#include "dispatch/Dispatcher.h"
#include "gateway/TargetClient.h"
#include "node/ClientAccountCounters.h"
#include "node/CrashWatch.h"
#include "node/ReplicatedLedger.h"
#include "ownership/DispatchAgent.h"
#include "protocol/Messages.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace magnoliamill::node {

struct DispatchFlowHooks {
  /// Sends a lease request to the leader of the data-centre group.
  std::function<void(protocol::LeaseRequest,
                     protocol::Reply<protocol::LeaseReply>)>
      RenewLease;
  ReplicatedLedgerHooks Ledger;
};

struct DispatchFlowConfig {
  base::VmId Self;
  base::DataCentreId DataCentre;
  std::uint64_t Incarnation = 0;
  gateway::TargetClientConfig Targets;
};

/// Public methods may be called from any thread; everything else runs on the
/// dispatch thread.
class DispatchFlow {
public:
  DispatchFlow(base::EventLoopThread &eventloop, DispatchFlowConfig config,
               DispatchFlowHooks hooks);

  /// Dispatches a request to a target of this VM; fails it with NotRunNotOwner
  /// when this VM does not dispatch for its target.
  protocol::CancelHook submit(protocol::ForwardRequest request,
                              protocol::AnswerSink sink);
  void setSettings(settings::ViewPtr view);
  void setOwnership(ownership::ViewPtr view);
  /// Handles a ledger request of another VM for an idempotency key.
  void handleLedger(protocol::LedgerRequest request,
                    protocol::Reply<protocol::LedgerReply> reply);
  void answerLedgerKeys(protocol::Reply<protocol::QueryReply> reply);
  /// Takes over a report of another VM on requests that end targets; the reply
  /// is what this VM knows.
  void exchangeCrashes(const std::string &text,
                       protocol::Reply<protocol::QueryReply> reply);
  /// Name of the query that carries these reports.
  static constexpr std::string_view CrashQuery = "target-crashes";
  /// To be called when the data centre's first group starts while this VM runs.
  void onFirstGroup();
  /// Hands over all targets; \p done is called when all are released and no
  /// request is in flight.
  void beginStopping(std::function<void()> done);

private:
  struct OpenRequest {
    protocol::ForwardRequest Request;
    protocol::AnswerSink Sink;
    base::MonoTime StartedAt;
    base::MonoTime Deadline;
    bool Idempotent = false;
    std::optional<base::SlotId> Slot;
    base::TargetInstanceId Target;
    protocol::CancelHook Cancel;
    bool HeadSent = false;
    // Number of the current attempt; outcomes of earlier attempts are ignored.
    std::uint32_t Attempt = 0;
    // True between the start and the end of an attempt.
    bool Running = false;
    // Set while the ledger holds an unfinished record of the idempotency key;
    // the answer is then saved for repeats of the request unless it exceeds
    // MaxSavedBytes.
    bool HasLedgerRecord = false;
    bool MayHaveRun = false;
    protocol::AnswerHead SavedHead;
    std::string SavedBody;
    bool SavedBodyTooLarge = false;
  };
  using OpenRequestPtr = std::shared_ptr<OpenRequest>;

  void admit(const OpenRequestPtr &open);
  void beginRecord(const OpenRequestPtr &open, dispatch::RequestInfo info);
  void onRecorded(const OpenRequestPtr &open, dispatch::RequestInfo info,
                  dispatch::LedgerDecision decision,
                  const std::optional<protocol::LedgerReply> &stored);
  void replay(const OpenRequestPtr &open, const protocol::LedgerReply &stored);
  void saveChunk(const OpenRequestPtr &open, const std::string &chunk) const;
  void finishRecord(const OpenRequestPtr &open, bool answered);
  void perform(dispatch::DispatchActions actions);
  void perform(ownership::AgentActions actions);
  void stepAgent(const ownership::AgentEvent &event);
  void startAttempt(const dispatch::StartAttempt &start);
  protocol::AnswerSink sinkFor(const OpenRequestPtr &open);
  void finishAttempt(const OpenRequestPtr &open, std::uint32_t attempt,
                     const gateway::TargetOutcome &outcome);
  void endRequest(const dispatch::EndRequest &ended);
  /// Fails a request and counts it for its client account.
  void fail(const OpenRequestPtr &open,
            const protocol::RequestFailure &failure);
  void countEnd(const OpenRequest &open, base::ResultCode code);
  /// Fails the request and returns true if several targets have ended while
  /// they had the same one.
  bool refuseIfQuarantined(const OpenRequestPtr &open);
  /// Finds out whether the target of a lost request has ended.
  void watchForCrash(const OpenRequestPtr &open,
                     const gateway::TargetOutcome &outcome);
  bool mayRetryAfterCrash(const OpenRequestPtr &open) const;
  void shareCrashes(const dispatch::CrashReport &report);
  void abortRequest(const base::RequestId &id);
  void abortTargetRequests(const base::TargetInstanceId &instance);
  void cancel(const base::RequestId &id);
  void sendLease(ownership::SendLeaseRequest lease);
  void sendGrant(ownership::SendGrant grant);
  base::Token tokenOf(const std::optional<base::SlotId> &slot) const;
  void checkStopped();
  void armTimer();

  base::EventLoopThread &EventLoop;
  DispatchFlowConfig Config;
  DispatchFlowHooks Hooks;
  ownership::DispatchAgent Agent;
  dispatch::Dispatcher Dispatcher;
  gateway::TargetClient Targets;
  ReplicatedLedger Ledger;
  CrashWatch Crashes;
  ClientAccountCounters ClientAccounts;
  settings::ViewPtr Settings;
  ownership::ViewPtr Ownership;
  boost::asio::steady_timer Timer;
  std::unordered_map<base::RequestId, OpenRequestPtr> Requests;
  std::function<void()> OnStopped;
};

} // namespace magnoliamill::node

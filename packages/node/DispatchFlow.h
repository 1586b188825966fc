// The dispatch duty: runs the dispatcher and the agent that keeps the VM's
// lease and its targets' grants, and talks to the targets.
#pragma once

#include "base/EventLoopThread.h"
#include "dispatch/Dispatcher.h"
#include "gateway/TargetClient.h"
#include "node/ClientAccountCounters.h"
#include "node/RequestRecords.h"
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
  RequestRecordsHooks Records;
};

struct DispatchFlowConfig {
  base::VmId Self;
  base::DataCentreId DataCentre;
  std::uint64_t Incarnation = 0;
  gateway::TargetClientConfig Targets;
};

/// Public methods from any thread; everything else on the duty's.
class DispatchFlow {
public:
  DispatchFlow(base::EventLoopThread &duty, DispatchFlowConfig config,
               DispatchFlowHooks hooks);

  /// Takes a request whose target this VM dispatches, or fails it as
  /// NotRunNotOwner.
  protocol::CancelHook submit(protocol::ForwardRequest request,
                              protocol::AnswerSink sink);
  void setSettings(settings::ViewPtr view);
  void setOwnership(ownership::ViewPtr view);
  /// Another VM's step in the life of an idempotency key.
  void handleLedger(protocol::LedgerRequest request,
                    protocol::Reply<protocol::LedgerReply> reply);
  void answerLedgerKeys(protocol::Reply<protocol::QueryReply> reply);
  /// The data centre's first group started while this VM ran.
  void onFirstGroup();
  /// Hands all targets over; \p done is called when they are and nothing is in
  /// flight any more.
  void beginStopping(std::function<void()> done);

private:
  struct Open {
    protocol::ForwardRequest Request;
    protocol::AnswerSink Sink;
    base::MonoTime Began;
    base::MonoTime Deadline;
    bool Idempotent = false;
    std::optional<base::SlotId> Slot;
    base::TargetInstanceId Target;
    protocol::CancelHook Cancel;
    bool HeadSent = false;
    // Number of the present attempt: what belongs to an earlier one is dropped.
    std::uint32_t Attempt = 0;
    // True between the start and the end of an attempt.
    bool Running = false;
    // Set while the request's idempotency key is recorded; the answer is kept
    // for repeats as long as it is small.
    bool Recorded = false;
    bool MayHaveRun = false;
    protocol::AnswerHead KeptHead;
    std::string KeptBody;
    bool KeptTooLarge = false;
  };
  using OpenPtr = std::shared_ptr<Open>;

  void admit(const OpenPtr &open);
  void record(const OpenPtr &open, dispatch::RequestInfo info);
  void onRecorded(const OpenPtr &open, dispatch::RequestInfo info,
                  dispatch::LedgerDecision decision,
                  const std::optional<protocol::LedgerReply> &stored);
  void replay(const OpenPtr &open, const protocol::LedgerReply &stored);
  void keepChunk(const OpenPtr &open, const std::string &chunk) const;
  void settleRecord(const OpenPtr &open, bool answered);
  void perform(dispatch::DispatchActions actions);
  void perform(ownership::AgentActions actions);
  void stepAgent(const ownership::AgentEvent &event);
  void startAttempt(const dispatch::StartAttempt &start);
  protocol::AnswerSink sinkFor(const OpenPtr &open);
  void finishAttempt(const OpenPtr &open, std::uint32_t attempt,
                     const gateway::TargetOutcome &outcome);
  void endRequest(const dispatch::EndRequest &ended);
  /// Fails a request and counts it for its client account.
  void fail(const OpenPtr &open, const protocol::RequestFailure &failure);
  void countEnd(const Open &open, base::ResultCode code);
  void abandon(const base::RequestId &id);
  void abandonTarget(const base::TargetInstanceId &instance);
  void cancel(const base::RequestId &id);
  void sendLease(ownership::SendLeaseRequest lease);
  void sendGrant(ownership::SendGrant grant);
  base::Token tokenOf(const std::optional<base::SlotId> &slot) const;
  void checkStopped();
  void armTimer();

  base::EventLoopThread &Duty;
  DispatchFlowConfig Config;
  DispatchFlowHooks Hooks;
  ownership::DispatchAgent Agent;
  dispatch::Dispatcher Dispatcher;
  gateway::TargetClient Targets;
  RequestRecords Records;
  ClientAccountCounters ClientAccounts;
  settings::ViewPtr Settings;
  ownership::ViewPtr Ownership;
  boost::asio::steady_timer Timer;
  std::unordered_map<base::RequestId, OpenPtr> Requests;
  std::function<void()> WhenStopped;
};

} // namespace magnoliamill::node

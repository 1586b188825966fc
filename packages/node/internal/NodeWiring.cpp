// Connects the modules of a node: who calls whom, and on which thread.
#include "node/internal/NodeState.h"

#include "base/Log.h"

namespace magnoliamill::node {
namespace {

// Timeout of a ledger call; a request whose key is not recorded in time is
// refused.
constexpr base::Duration LedgerTimeout = std::chrono::milliseconds(300);

} // namespace

template <typename T>
void Node::State::postToState(base::Task task,
                              const protocol::Reply<T> &reply) {
  if (!StateThread.tryPost(std::move(task)))
    reply(base::fail(base::ResultCode::RingFull,
                     "the state thread is overloaded"));
}

peer::PeerHandlers Node::State::makePeerHandlers() {
  using protocol::GroupKind;
  peer::PeerHandlers handlers;
  handlers.OnGroupMessages = [this](std::vector<protocol::GroupMessage> batch) {
    // The replicated log sends lost messages again.
    (void)StateThread.tryPost([this, batch = std::move(batch)]() mutable {
      for (auto &message : batch) {
        if (message.Group == GroupKind::Settings)
          SettingsGroup->receive(std::move(message.Message));
        else
          DataCentre->receive(std::move(message.Message));
      }
    });
  };
  handlers.OnPropose = [this](protocol::ProposeRequest request,
                              protocol::Reply<protocol::ProposeReply> reply) {
    postToState(
        [this, request = std::move(request), reply] {
          if (request.Group == GroupKind::Settings)
            SettingsGroup->proposeLocally(request.Command, reply);
          else
            reply(base::fail(base::ResultCode::PeerRefused,
                             "only the leader proposes to this group"));
        },
        reply);
  };
  handlers.OnFetch = [this](protocol::FetchRequest request,
                            protocol::Reply<protocol::FetchReply> reply) {
    postToState(
        [this, request = std::move(request), reply] {
          if (request.Group == GroupKind::Settings)
            SettingsGroup->answerFetch(request, reply);
          else
            DataCentre->answerFetch(request, reply);
        },
        reply);
  };
  handlers.OnLease = [this](protocol::LeaseRequest request,
                            protocol::Reply<protocol::LeaseReply> reply) {
    postToState([this, request = std::move(request),
                 reply] { DataCentre->handleLeaseRequest(request, reply); },
                reply);
  };
  handlers.OnAnnounce = [this](protocol::AnnounceRequest request,
                               protocol::Reply<protocol::AnnounceReply> reply) {
    postToState([this, request = std::move(request),
                 reply] { DataCentre->handleAnnounce(request, reply); },
                reply);
  };
  handlers.OnQuery = [this](protocol::QueryRequest request,
                            protocol::Reply<protocol::QueryReply> reply) {
    postToState([this, request = std::move(request),
                 reply] { answerQuery(request, reply); },
                reply);
  };
  handlers.OnLedger = [this](protocol::LedgerRequest request,
                             protocol::Reply<protocol::LedgerReply> reply) {
    Dispatch->handleLedger(std::move(request), std::move(reply));
  };
  handlers.OnForward = [this](protocol::ForwardRequest request,
                              protocol::AnswerSink sink) {
    return Requests->onForwarded(std::move(request), std::move(sink));
  };
  return handlers;
}

gateway::GatewayHandlers Node::State::makeGatewayHandlers() {
  gateway::GatewayHandlers handlers;
  handlers.OnRequest = [this](protocol::ForwardRequest request,
                              protocol::AnswerSink sink) {
    if (!SettingsReady) {
      sink.Fail({base::ResultCode::NotRunNotReady, describeUnready(), 1000});
      return protocol::CancelHook([] {});
    }
    return Requests->submit(std::move(request), std::move(sink));
  };
  handlers.OnApi = [this](gateway::ApiRequest request,
                          OperatorApi::Respond respond) {
    bool posted = StateThread.tryPost([this, request, respond] {
      if (!SettingsGroup->isReady()) {
        respond(gateway::renderFailure(
            {base::ResultCode::NotRunNotReady, describeUnready(), 1000}));
        return;
      }
      Api->handle(request, respond);
    });
    if (!posted)
      respond(gateway::renderFailure({base::ResultCode::RingFull,
                                      "the state thread is overloaded", 1000}));
  };
  handlers.DescribeUnready = [this] { return describeUnready(); };
  return handlers;
}

SettingsParticipantHooks Node::State::makeSettingsHooks() {
  SettingsParticipantHooks hooks;
  hooks.Send = [this](const base::VmId &to,
                      std::vector<consensus::Message> messages) {
    std::vector<protocol::GroupMessage> batch;
    batch.reserve(messages.size());
    for (auto &message : messages)
      batch.push_back({protocol::GroupKind::Settings, std::move(message)});
    Peers->sendGroupMessages(to, std::move(batch));
  };
  hooks.Fetch = [this](const base::VmId &to, protocol::FetchRequest request,
                       protocol::Reply<protocol::FetchReply> reply) {
    auto timeout = ControlTimeout + std::chrono::milliseconds(request.WaitMs);
    Peers->fetch(to, std::move(request), timeout, std::move(reply));
  };
  hooks.ProposeTo = [this](const base::VmId &to,
                           protocol::ProposeRequest request,
                           protocol::Reply<protocol::ProposeReply> reply) {
    constexpr base::Duration ProposeTimeout = std::chrono::seconds(1);
    Peers->propose(to, std::move(request), ProposeTimeout, std::move(reply));
  };
  hooks.IsAlive = [this](const base::VmId &vm) { return Peers->isAlive(vm); };
  hooks.OnView = [this](const settings::ViewPtr &view) {
    onSettingsView(view);
  };
  return hooks;
}

DataCentreParticipantHooks Node::State::makeDataCentreHooks() {
  DataCentreParticipantHooks hooks;
  hooks.Send = [this](const base::VmId &to,
                      std::vector<consensus::Message> messages) {
    std::vector<protocol::GroupMessage> batch;
    batch.reserve(messages.size());
    for (auto &message : messages)
      batch.push_back({protocol::GroupKind::DataCentre, std::move(message)});
    Peers->sendGroupMessages(to, std::move(batch));
  };
  hooks.Fetch = [this](const base::VmId &to, protocol::FetchRequest request,
                       protocol::Reply<protocol::FetchReply> reply) {
    auto timeout = ControlTimeout + std::chrono::milliseconds(request.WaitMs);
    Peers->fetch(to, std::move(request), timeout, std::move(reply));
  };
  hooks.RequestLeaseFrom = [this](const base::VmId &to,
                                  protocol::LeaseRequest request,
                                  protocol::Reply<protocol::LeaseReply> reply) {
    Peers->renewLease(to, std::move(request), ControlTimeout, std::move(reply));
  };
  hooks.AnnounceTo = [this](const base::VmId &to,
                            protocol::AnnounceRequest request,
                            protocol::Reply<protocol::AnnounceReply> reply) {
    Peers->announce(to, std::move(request), ControlTimeout, std::move(reply));
  };
  hooks.IsAlive = [this](const base::VmId &vm) { return Peers->isAlive(vm); };
  hooks.OnView = [this](const ownership::ViewPtr &view) {
    Requests->setOwnership(view);
    Dispatch->setOwnership(view);
  };
  hooks.OnFirstGroup = [this] { Dispatch->onFirstGroup(); };
  hooks.ReleaseHome = [this](const settings::FinishHomeMove &finish) {
    SettingsGroup->propose(finish, [](const auto &) {});
  };
  return hooks;
}

RequestFlowHooks Node::State::makeRequestHooks() {
  RequestFlowHooks hooks;
  hooks.DispatchLocally = [this](protocol::ForwardRequest request,
                                 protocol::AnswerSink sink) {
    return Dispatch->submit(std::move(request), std::move(sink));
  };
  hooks.ForwardTo = [this](const base::VmId &vm,
                           protocol::ForwardRequest request,
                           protocol::AnswerSink sink) {
    return Peers->forward(vm, std::move(request), std::move(sink));
  };
  hooks.IsAlive = [this](const base::VmId &vm) { return Peers->isAlive(vm); };
  return hooks;
}

DispatchFlowHooks Node::State::makeDispatchHooks() {
  DispatchFlowHooks hooks;
  hooks.RenewLease = [this](protocol::LeaseRequest request,
                            protocol::Reply<protocol::LeaseReply> reply) {
    postToState([this, request = std::move(request),
                 reply] { DataCentre->renewLease(request, reply); },
                reply);
  };
  hooks.Ledger.SendLedgerRequest =
      [this](const base::VmId &to, protocol::LedgerRequest request,
             protocol::Reply<protocol::LedgerReply> reply) {
        Peers->ledger(to, std::move(request), LedgerTimeout, std::move(reply));
      };
  hooks.Ledger.QueryVm = [this](const base::VmId &to,
                                protocol::QueryRequest request,
                                protocol::Reply<protocol::QueryReply> reply) {
    Peers->query(to, std::move(request), ControlTimeout, std::move(reply));
  };
  return hooks;
}

void Node::State::answerQuery(
    const protocol::QueryRequest &request,
    const protocol::Reply<protocol::QueryReply> &reply) {
  if (request.What == "report") {
    auto report = decodeNodeReport(request.Argument);
    if (!report) {
      reply(base::fail(report.error()));
      return;
    }
    SettingsGroup->onReport(report.value());
    DataCentre->onReport(report.value());
    reply(protocol::QueryReply{SettingsGroup->renderCommit()});
    return;
  }
  if (request.What == "status") {
    auto index = std::strtoull(request.Argument.c_str(), nullptr, 10);
    reply(protocol::QueryReply{Api->renderStatus(index)});
    return;
  }
  if (request.What == "ledger-keys") {
    Dispatch->answerLedgerKeys(reply);
    return;
  }
  if (request.What == DispatchFlow::CrashQuery) {
    Dispatch->exchangeCrashes(request.Argument, reply);
    return;
  }
  reply(base::fail(base::ResultCode::PeerProtocol, "unknown query"));
}

} // namespace magnoliamill::node

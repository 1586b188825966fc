// Decodes calls, passes them to the handlers and encodes the answers.
#include "peer/internal/PeerServer.h"

#include "peer/internal/AnswerRelay.h"
#include "peer/internal/PeerMetrics.h"
#include "peer/internal/PendingAnswers.h"
#include "protocol/internal/CallCodec.h"
#include "protocol/internal/ConsensusCodec.h"

namespace magnoliamill::peer::internal {
namespace {

using protocol::internal::asText;
using protocol::internal::decode;
using protocol::internal::encode;

template <typename Result, typename Builder>
void writeResult(const base::Result<Result> &result, Builder builder) {
  if (result)
    encode(result.value(), builder.initOk());
  else
    encode(result.error(), builder.initFailure());
}

// Serves a call that has a single reply.
template <typename Reply, typename Request, typename Call>
kj::Promise<void>
serve(LoopContext &context, Call call,
      const std::function<void(Request, protocol::Reply<Reply>)> &handler) {
  metrics().CallsServed.Increment();
  call.allowCancellation();
  if (!handler) {
    encode(base::Error{base::ResultCode::PeerRefused,
                       "this VM does not serve this call"},
           call.getResults().initResult().initFailure());
    return kj::READY_NOW;
  }
  Request request = decode(call.getParams().getRequest());
  call.releaseParams();
  auto pending = context.Pending.addReply<Reply>();
  handler(std::move(request), std::move(pending.Reply));
  return pending.Promise.then(
      [call](kj::Own<base::Result<Reply>> result) mutable {
        writeResult(*result, call.getResults().initResult());
      });
}

} // namespace

kj::Promise<void> PeerServer::heartbeat(HeartbeatContext call) {
  auto results = call.getResults();
  results.setVm(asText(Context.Config.Self.Vm.Value));
  results.setIncarnation(Context.Config.Incarnation);
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::deliver(DeliverContext call) {
  if (!Context.Handlers.OnGroupMessages)
    return kj::READY_NOW;
  auto list = call.getParams().getMessages();
  std::vector<protocol::GroupMessage> messages;
  messages.reserve(list.size());
  for (auto message : list)
    messages.push_back(decode(message));
  Context.Handlers.OnGroupMessages(std::move(messages));
  return kj::READY_NOW;
}

kj::Promise<void> PeerServer::propose(ProposeContext call) {
  return serve(Context, call, Context.Handlers.OnPropose);
}

kj::Promise<void> PeerServer::fetch(FetchContext call) {
  return serve(Context, call, Context.Handlers.OnFetch);
}

kj::Promise<void> PeerServer::renewLease(RenewLeaseContext call) {
  return serve(Context, call, Context.Handlers.OnLease);
}

kj::Promise<void> PeerServer::announce(AnnounceContext call) {
  return serve(Context, call, Context.Handlers.OnAnnounce);
}

kj::Promise<void> PeerServer::ledger(LedgerContext call) {
  return serve(Context, call, Context.Handlers.OnLedger);
}

kj::Promise<void> PeerServer::query(QueryContext call) {
  return serve(Context, call, Context.Handlers.OnQuery);
}

kj::Promise<void> PeerServer::forward(ForwardContext call) {
  metrics().CallsServed.Increment();
  call.allowCancellation();
  auto request = decode(call.getParams().getRequest());
  call.releaseParams();
  auto relay = kj::refcounted<AnswerRelay>(Context);
  auto ready = relay->begin(std::move(request));
  return ready.then([call, relay = kj::mv(relay)]() mutable {
    relay->writeAnswer(call.getResults());
  });
}

} // namespace magnoliamill::peer::internal

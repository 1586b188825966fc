// Requests with an idempotency key: recording, replay and release of the key.
#include "node/DispatchFlow.h"

namespace magnoliamill::node {
namespace {

// Bodies of answers up to this size are saved for repeats of the request.
constexpr std::size_t MaxSavedBytes = std::size_t(64) * 1024;
// Retry-after for callers while the record is not available or the first
// request has no known outcome.
constexpr std::uint32_t UnavailableRetryMs = 1000;

} // namespace

void DispatchFlow::beginRecord(const OpenRequestPtr &open,
                               dispatch::RequestInfo info) {
  Ledger.begin(open->Request,
               [this, open, info = std::move(info)](
                   dispatch::LedgerDecision decision,
                   const std::optional<protocol::LedgerReply> &stored) {
                 onRecorded(open, info, decision, stored);
               });
}

void DispatchFlow::onRecorded(
    const OpenRequestPtr &open, dispatch::RequestInfo info,
    dispatch::LedgerDecision decision,
    const std::optional<protocol::LedgerReply> &stored) {
  // The caller may have cancelled meanwhile.
  bool gone = !Requests.contains(open->Request.Id);
  if (decision == dispatch::LedgerDecision::MayRun && !gone) {
    open->HasLedgerRecord = true;
    perform(Dispatcher.submit(std::move(info), base::readMonotonic()));
    return;
  }
  Requests.erase(open->Request.Id);
  switch (decision) {
  case dispatch::LedgerDecision::Replay:
    replay(open, *stored);
    return;
  case dispatch::LedgerDecision::Unknown:
    fail(open, {base::ResultCode::RepeatInProgress,
                "a request with this Idempotency-Key has already started",
                UnavailableRetryMs});
    return;
  default:
    Ledger.forget(open->Request);
    fail(open,
         {base::ResultCode::NotRunLedgerUnavailable,
          "the key could not be recorded at a second VM", UnavailableRetryMs});
  }
}

void DispatchFlow::replay(const OpenRequestPtr &open,
                          const protocol::LedgerReply &stored) {
  protocol::AnswerHead head;
  head.Status = stored.Status;
  head.Headers = stored.Headers;
  head.Headers.push_back({"Mill-Replayed", "1"});
  head.Length = stored.Body.size();
  countEnd(*open, base::ResultCode::Ok);
  open->Sink.Head(std::move(head));
  if (stored.Body.empty()) {
    open->Sink.End();
    return;
  }
  auto sink = open->Sink;
  sink.Chunk(stored.Body, [sink] { sink.End(); });
}

void DispatchFlow::saveChunk(const OpenRequestPtr &open,
                             const std::string &chunk) const {
  if (!open->HasLedgerRecord || open->SavedBodyTooLarge)
    return;
  if (open->SavedBody.size() + chunk.size() > MaxSavedBytes) {
    open->SavedBodyTooLarge = true;
    open->SavedBody.clear();
    return;
  }
  open->SavedBody += chunk;
}

void DispatchFlow::finishRecord(const OpenRequestPtr &open, bool answered) {
  if (!open->HasLedgerRecord)
    return;
  open->HasLedgerRecord = false;
  if (answered) {
    // Status 0 records that the request ran but that its answer was not saved.
    std::uint16_t status = open->SavedBodyTooLarge ? 0 : open->SavedHead.Status;
    Ledger.finish(open->Request, status, open->SavedHead.Headers,
                  std::move(open->SavedBody));
  } else if (!open->MayHaveRun) {
    Ledger.forget(open->Request);
  }
}

void DispatchFlow::handleLedger(protocol::LedgerRequest request,
                                protocol::Reply<protocol::LedgerReply> reply) {
  bool posted = EventLoop.tryPost([this, request = std::move(request), reply] {
    Ledger.handle(request, reply);
  });
  if (!posted)
    reply(
        base::fail(base::ResultCode::RingFull, "the dispatcher is overloaded"));
}

void DispatchFlow::answerLedgerKeys(
    protocol::Reply<protocol::QueryReply> reply) {
  EventLoop.postReply(
      [this, reply = std::move(reply)] { reply(Ledger.renderKeys()); });
}

void DispatchFlow::onFirstGroup() {
  EventLoop.postReply([this] { Ledger.onFirstGroup(); });
}

} // namespace magnoliamill::node

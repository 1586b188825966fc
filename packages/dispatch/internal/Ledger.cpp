// Inserts a key if it is absent and expires keys after the window.
#include "dispatch/Ledger.h"

namespace magnoliamill::dispatch {
namespace {

/// The request id without the part that names the dispatching VM.
std::string_view callerRequestId(const base::RequestId &id) {
  std::string_view text = id.Value;
  return text.substr(0, text.find('@'));
}

bool isSameRequest(const base::RequestId &left, const base::RequestId &right) {
  return callerRequestId(left) == callerRequestId(right);
}

} // namespace

Ledger::Ledger(LedgerLimits limits, base::MonoTime started)
    : Limits(limits), Started(started) {}

bool Ledger::isComplete(base::MonoTime now) const {
  // Keys that were lost by a restart are older than the window by then.
  return Synchronized || now - Started >= Limits.Window;
}

void Ledger::expire(base::MonoTime now) {
  while (!StartOrder.empty() &&
         now - StartOrder.front().first >= Limits.Window) {
    auto it = Records.find(StartOrder.front().second);
    // The key may have been freed by Forget and begun again since.
    if (it != Records.end() && it->second.Begun == StartOrder.front().first) {
      BodyBytes -= it->second.Body.size();
      Records.erase(it);
    }
    StartOrder.pop_front();
  }
}

protocol::LedgerReply Ledger::describe(const Record *record,
                                       const base::RequestId &requester,
                                       base::MonoTime now) const {
  protocol::LedgerReply reply;
  reply.Complete = isComplete(now);
  if (!record || isSameRequest(record->Request, requester))
    return reply;
  reply.Known = true;
  reply.Finished = record->Finished;
  reply.Status = record->Status;
  reply.Headers = record->Headers;
  reply.Body = record->Body;
  return reply;
}

void Ledger::finish(Record &record, const protocol::LedgerRequest &request) {
  if (record.Finished)
    return;
  record.Finished = true;
  if (BodyBytes + request.Body.size() > Limits.MaxBodyBytes)
    return;
  BodyBytes += request.Body.size();
  record.Status = request.Status;
  record.Headers = request.Headers;
  record.Body = request.Body;
}

base::Result<protocol::LedgerReply>
Ledger::handle(const protocol::LedgerRequest &request, base::MonoTime now) {
  expire(now);
  RecordKey name{request.Service, request.IdempotencyKey};
  auto it = Records.find(name);
  Record *found = it == Records.end() ? nullptr : &it->second;
  auto reply = describe(found, request.Request, now);
  bool own = found && found->Request == request.Request;
  switch (request.Step) {
  case protocol::LedgerStep::Begin:
    if (found) {
      if (!reply.Known)
        found->Request = request.Request;
      return reply;
    }
    if (Records.size() >= Limits.MaxRecords)
      return base::fail(base::ResultCode::NotRunLedgerUnavailable,
                        "the ledger is full");
    Records[name] = {request.Request, now, false, 0, {}, {}};
    StartOrder.emplace_back(now, name);
    return reply;
  case protocol::LedgerStep::Finish:
    if (own)
      finish(*found, request);
    return reply;
  case protocol::LedgerStep::Forget:
    if (own && !found->Finished)
      Records.erase(it);
    return reply;
  case protocol::LedgerStep::Lookup:
    return reply;
  }
  return reply;
}

void Ledger::importKeys(const std::vector<LedgerKey> &keys,
                        base::MonoTime now) {
  for (const auto &key : keys) {
    RecordKey name{key.Service, key.Key};
    if (Records.contains(name) || Records.size() >= Limits.MaxRecords)
      continue;
    Records[name] = {key.Request, now, false, 0, {}, {}};
    StartOrder.emplace_back(now, name);
  }
}

std::vector<LedgerKey> Ledger::listKeys() const {
  std::vector<LedgerKey> keys;
  keys.reserve(Records.size());
  for (const auto &[name, record] : Records)
    keys.push_back({name.first, name.second, record.Request});
  return keys;
}

} // namespace magnoliamill::dispatch

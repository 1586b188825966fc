// This VM's records of idempotency keys: which request began under a key and
// the answer it got. Each key is recorded at several VMs, so that a repeated
// request is recognised even through another entry VM or after the loss of a
// VM.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "protocol/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnoliamill::dispatch {

struct LedgerLimits {
  /// How long a key is kept; a repeat after that counts as a new request.
  base::Duration Window = std::chrono::minutes(10);
  std::size_t MaxRecords = 200000;
  /// Limit for the total size of the stored answer bodies. Beyond it only the
  /// fact that a request finished is recorded, not its answer.
  std::size_t MaxBodyBytes = 64u << 20;
};

/// A key under which a request began, as sent to a VM that lost its records.
struct LedgerKey {
  base::ServiceId Service;
  std::string Key;
  base::RequestId Request;
};

class Ledger {
public:
  Ledger(LedgerLimits limits, base::MonoTime started);

  /// Begin inserts the key unless another request holds it; the reply says what
  /// was known before. The request id names the dispatching VM after an '@'. A
  /// request that is routed again begins again at its new dispatcher, which
  /// then owns the key. Finish and Forget from any other dispatcher change
  /// nothing, so a late Forget of the earlier dispatcher does not free the key
  /// of a running request. A full ledger fails with NotRunLedgerUnavailable and
  /// records nothing.
  base::Result<protocol::LedgerReply>
  handle(const protocol::LedgerRequest &request, base::MonoTime now);

  /// True when no key of the last LedgerLimits::Window can be missing.
  bool isComplete(base::MonoTime now) const;
  /// Call when the keys that other VMs hold have been imported, or there were
  /// none.
  void setComplete() { Synchronized = true; }
  void importKeys(const std::vector<LedgerKey> &keys, base::MonoTime now);
  std::vector<LedgerKey> listKeys() const;
  std::size_t size() const { return Records.size(); }

private:
  using RecordKey = std::pair<base::ServiceId, std::string>;
  struct Record {
    base::RequestId Request;
    base::MonoTime Begun;
    bool Finished = false;
    std::uint16_t Status = 0;
    std::vector<protocol::HttpHeader> Headers;
    std::string Body;
  };

  void expire(base::MonoTime now);
  protocol::LedgerReply describe(const Record *record,
                                 const base::RequestId &requester,
                                 base::MonoTime now) const;
  void finish(Record &record, const protocol::LedgerRequest &request);

  LedgerLimits Limits;
  base::MonoTime Started;
  bool Synchronized = false;
  std::map<RecordKey, Record> Records;
  // Start times and keys of the records in the order in which they began, for
  // expiry.
  std::deque<std::pair<base::MonoTime, RecordKey>> StartOrder;
  std::size_t BodyBytes = 0;
};

} // namespace magnoliamill::dispatch

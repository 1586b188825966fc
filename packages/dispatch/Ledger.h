// What this VM remembers of idempotency keys: which request began under a key,
// and the answer it got. Kept at several VMs, so that a repeat through another
// entry VM or after a loss is recognised.
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
  /// A key is remembered for this long; a repeat after it is a new request.
  base::Duration Window = std::chrono::minutes(10);
  std::size_t MaxRecords = 200000;
  /// Sum of the stored answers' bodies; beyond it answers are not kept, only
  /// that the request ran.
  std::size_t MaxBodyBytes = 64u << 20;
};

/// A key that was begun, as handed to a VM that lost its memory.
struct LedgerKey {
  base::ServiceId Service;
  std::string Key;
  base::RequestId Request;
};

class Ledger {
public:
  Ledger(LedgerLimits limits, base::MonoTime started);

  /// Begin inserts the key unless another request holds it; the reply says what
  /// was known before. The request id names the dispatching VM behind an '@': a
  /// request that was routed anew begins again at its new dispatcher and is
  /// then that one's. Finish and Forget by anybody else change nothing, so a
  /// late Forget of the earlier dispatcher does not free the key of a running
  /// request. A full ledger answers with LedgerUnavailable: nothing was
  /// recorded.
  base::Result<protocol::LedgerReply>
  handle(const protocol::LedgerRequest &request, base::MonoTime now);

  /// True when no key of the window can be missing.
  bool isComplete(base::MonoTime now) const;
  /// The keys that other VMs hold have been taken over, or there were none.
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
  // Records in the order in which they began, for expiry.
  std::deque<std::pair<base::MonoTime, RecordKey>> StartOrder;
  std::size_t BodyBytes = 0;
};

} // namespace magnoliamill::dispatch

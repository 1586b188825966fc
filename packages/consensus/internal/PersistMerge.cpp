// Merges truncations and appended entries.
#include "consensus/PersistMerge.h"

#include <algorithm>

namespace magnoliamill::consensus {

bool mergePersistRequests(PersistRequest &earlier,
                          const PersistRequest &later) {
  if (earlier.InstallSnapshot || later.InstallSnapshot)
    return false;
  if (later.TruncateAfter) {
    const LogIndex last = *later.TruncateAfter;
    const bool IsStored =
        earlier.Append.empty() || last < earlier.Append.front().Index - 1;
    std::erase_if(earlier.Append,
                  [&](const Entry &it) { return it.Index > last; });
    if (IsStored)
      earlier.TruncateAfter =
          std::min(last, earlier.TruncateAfter.value_or(last));
  }
  earlier.PersistId = later.PersistId;
  earlier.Term = later.Term;
  earlier.VotedFor = later.VotedFor;
  earlier.Append.insert(earlier.Append.end(), later.Append.begin(),
                        later.Append.end());
  return true;
}

} // namespace magnoliamill::consensus

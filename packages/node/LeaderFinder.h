// Finds the leader of a group: remembers who answered last, follows the hints
// of replicas that do not lead, and goes round the replicas otherwise.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <cstddef>
#include <string>
#include <vector>

namespace magnoliamill::node {

class LeaderFinder {
public:
  /// The VM to ask next, empty when \p candidates is.
  base::VmId choose(const std::vector<base::VmId> &candidates) {
    if (!Hint.empty())
      return Hint;
    if (candidates.empty())
      return {};
    return candidates[Next++ % candidates.size()];
  }

  void onAnswer(const base::VmId &vm) { Hint = vm; }

  /// \p error of the call to \p vm. A NotLeader error carries the leader's VM
  /// id as its message when the replica knows it.
  void onFailure(const base::VmId &vm, const base::Error &error) {
    if (error.Code == base::ResultCode::NotLeader && error.Message != vm.Value)
      Hint = base::VmId(error.Message);
    else if (Hint == vm)
      Hint = {};
  }

private:
  base::VmId Hint;
  std::size_t Next = 0;
};

} // namespace magnoliamill::node

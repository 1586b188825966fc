// Finds the leader of a group: remembers the VM that answered last, follows the
// hints of replicas that do not lead, and otherwise tries the replicas in turn.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"

#include <cstddef>
#include <string>
#include <vector>

namespace magnoliamill::node {

class LeaderFinder {
public:
  /// The VM to call next; empty when there is no hint and \p candidates is
  /// empty.
  base::VmId choose(const std::vector<base::VmId> &candidates) {
    if (!Hint.empty())
      return Hint;
    if (candidates.empty())
      return {};
    return candidates[Next++ % candidates.size()];
  }

  void onAnswer(const base::VmId &vm) { Hint = vm; }

  /// Handles \p error of a call to \p vm. The message of a NotLeader error is
  /// the leader's VM id, or empty when the replica does not know it.
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

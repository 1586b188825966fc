// The report that a VM sends to the data-centre group's leader with each lease
// request.
#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Token.h"
#include "consensus/Types.h"
#include "ownership/Commands.h"

#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::ownership {

/// A target that its dispatcher has released: the dispatcher sends it no more
/// requests or grants under this dispatch token.
struct ReleasedTarget {
  base::TargetInstanceId Instance;
  base::Token Token;
  auto operator<=>(const ReleasedTarget &) const = default;
};

struct DispatchReport {
  /// Index of the ownership view that the VM acts on.
  consensus::LogIndex ViewIndex = 0;
  /// Targets that hold a valid grant, or that do not check tokens.
  std::vector<base::TargetInstanceId> Ready;
  /// Targets that did not answer last time but may still hold a valid grant.
  std::vector<base::TargetInstanceId> Failing;
  /// Targets that do not answer and whose grants have expired.
  std::vector<base::TargetInstanceId> Lost;
  /// Slots that no target of this VM holds any more: the VM never again grants
  /// them or sends requests for them under the given token.
  std::vector<SlotExpectation> ReleasedSlots;
  std::vector<ReleasedTarget> ReleasedTargets;
  bool operator==(const DispatchReport &) const = default;
};

std::string encodeReport(const DispatchReport &report);
base::Result<DispatchReport> parseReport(std::string_view text);

} // namespace magnoliamill::ownership

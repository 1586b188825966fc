// What a VM tells the data-centre group's leader with each lease renewal.
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

/// A dispatcher's word that it never again writes or grants anything to the
/// target under this dispatch token.
struct ReleasedTarget {
  base::TargetInstanceId Instance;
  base::Token Token;
  auto operator<=>(const ReleasedTarget &) const = default;
};

struct DispatchReport {
  /// The index of the ownership view that the VM acts by.
  consensus::LogIndex ViewIndex = 0;
  /// Targets that took their last grant.
  std::vector<base::TargetInstanceId> Ready;
  /// Targets that did not answer last time, but may still hold a grant.
  std::vector<base::TargetInstanceId> Failing;
  /// Targets that do not answer and whose grants have run out.
  std::vector<base::TargetInstanceId> Lost;
  /// Slots that are at no target of this VM any more: it never again grants
  /// them or writes for them under the token named.
  std::vector<SlotExpectation> ReleasedSlots;
  std::vector<ReleasedTarget> ReleasedTargets;
  bool operator==(const DispatchReport &) const = default;
};

std::string encodeReport(const DispatchReport &report);
base::Result<DispatchReport> parseReport(std::string_view text);

} // namespace magnoliamill::ownership

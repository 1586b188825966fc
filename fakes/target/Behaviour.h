// Configures how a fake target behaves, at its start and at run time.
#pragma once

#include "base/Result.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace magnoliamill::fakes {

/// Every field can be changed with `POST /.mill/control` under its JSON name.
struct Behaviour {
  /// Duration of a request, and the upper bound of a random addition to it.
  std::int64_t ServiceMs = 5;
  std::int64_t ServiceJitterMs = 0;
  /// Additional duration while the target is cold, just after its start.
  std::int64_t ColdStartMs = 0;
  /// Requests are refused while this many are running; 0 disables this.
  std::int64_t ShedOver = 0;
  /// Requests for a slot need a valid grant and a token that is not old.
  bool ChecksTokens = true;
  /// A run is cancelled when its dispatcher disconnects.
  bool Cancel = true;
  /// A request whose deadline cannot be met is refused.
  bool Deadlines = true;
  /// What the health endpoint reports: "ok" or "bad" regardless of the actual
  /// health, or "none" for the actual health.
  std::string HealthOverride = "none";
  /// Age of the values that the health and load endpoints report.
  std::int64_t HealthLagMs = 0;
  /// Size of answer bodies; 0 for a small JSON answer.
  std::int64_t BodyBytes = 0;
  /// Every answer whose number is a multiple of this is truncated; 0 for none.
  std::int64_t TruncateEvery = 0;
  /// Counts the requests that started while all slots were in use.
  bool EnforceSlots = false;
  /// A request for this path ends the process as soon as it runs; empty for
  /// none. Set at the start only.
  std::string EndingPath{};
  /// When false, the target keeps running without announcing itself.
  bool Announces = true;
};

/// Sets the fields named in \p change. Fails with UnknownField or WrongType, in
/// which case nothing is changed.
base::Result<void> applyChange(Behaviour &behaviour,
                               const boost::json::object &change);
/// All fields under their JSON names.
boost::json::object describe(const Behaviour &behaviour);

} // namespace magnoliamill::fakes

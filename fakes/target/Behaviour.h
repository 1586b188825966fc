// What a fake target is told to do, at start and at run time.
#pragma once

#include "base/Result.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace magnoliamill::fakes {

/// Every field can be changed by `POST /.mill/control` under its JSON name.
struct Behaviour {
  /// Time that a request takes, and the most that chance adds to it.
  std::int64_t ServiceMs = 5;
  std::int64_t ServiceJitterMs = 0;
  /// Extra time while the target is cold, just after its start.
  std::int64_t ColdStartMs = 0;
  /// Requests beyond this many running ones are refused; 0 refuses none.
  std::int64_t ShedOver = 0;
  /// Requests for a slot need a valid grant and a token that is not old.
  bool ChecksTokens = true;
  /// A disconnect of the dispatcher ends the run.
  bool Cancel = true;
  /// A request whose deadline can't be met is refused.
  bool Deadlines = true;
  /// What the health endpoint says: "ok" or "bad" whatever is true, "none" for
  /// the truth.
  std::string HealthOverride = "none";
  /// Age of what the health and load endpoints tell.
  std::int64_t HealthLagMs = 0;
  /// Size of answers; 0 for a small JSON answer.
  std::int64_t BodyBytes = 0;
  /// Each answer whose number is a multiple of this ends short; 0 for none.
  std::int64_t TruncateEvery = 0;
  /// Counts how often more requests than slots ran at once.
  bool EnforceSlots = false;
  /// False: the target goes on without announcing itself.
  bool Announces = true;
};

/// Changes the fields that \p change names. Errors: UnknownField, WrongType;
/// nothing is changed then.
base::Result<void> applyChange(Behaviour &behaviour,
                               const boost::json::object &change);
boost::json::object describe(const Behaviour &behaviour);

} // namespace magnoliamill::fakes

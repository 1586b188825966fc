// The window counts log entries. A change id may contain the settings index at
// which it was created. The change cannot have been decided before that index,
// so while the index lies in the window, an earlier attempt is still in the
// table. After that it is unknown whether there was one, and the change is
// refused.
#include "settings/internal/ChangeIdTable.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::settings::internal {
namespace {

using base::ResultCode;

bool isWellFormed(std::string_view id) {
  return !id.empty() && id.size() <= MaxIdLength &&
         std::ranges::all_of(id, [](char c) { return c > ' ' && c <= '~'; });
}

ChangeOutcome refuse(ResultCode code, std::string message) {
  ChangeOutcome outcome;
  outcome.Code = code;
  outcome.Message = std::move(message);
  return outcome;
}

} // namespace

const ChangeOutcome *ChangeIdTable::findOutcome(const ChangeKey &key,
                                                std::uint64_t digest) const {
  auto it = Changes.find(key);
  if (it == Changes.end() || it->second.Digest != digest)
    return nullptr;
  return &it->second.Outcome;
}

std::optional<ChangeOutcome>
ChangeIdTable::validate(const ChangeKey &key, consensus::LogIndex now) const {
  if (!isWellFormed(key.Id))
    return refuse(ResultCode::BadRequest,
                  "a change id has 1 to 128 printable characters");
  auto it = Changes.find(key);
  if (it != Changes.end())
    return refuse(ResultCode::ChangeIdReused,
                  fmt::format("the change id was used for another change at "
                              "index {}; use a new one",
                              it->second.Outcome.Index));
  auto created = creationIndexOf(key.Id);
  if (!created)
    return std::nullopt;
  if (*created >= now)
    return refuse(ResultCode::BadRequest,
                  "the change id names a settings index that does not exist");
  if (*created + Window < now)
    return refuse(ResultCode::ChangeIdExpired,
                  "the change id is too old to tell whether the change was "
                  "made: read the path and decide again");
  return std::nullopt;
}

void ChangeIdTable::remember(ChangeKey key, std::uint64_t digest,
                             ChangeOutcome outcome) {
  Order.push_back(key);
  Changes[std::move(key)] = {digest, std::move(outcome)};
}

void ChangeIdTable::expire(consensus::LogIndex now) {
  while (!Order.empty() &&
         Changes.at(Order.front()).Outcome.Index + Window < now) {
    Changes.erase(Order.front());
    Order.pop_front();
  }
}

} // namespace magnoliamill::settings::internal

// Computes the value that a majority of the voters has reached.
#pragma once

#include "consensus/Types.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace magnoliamill::consensus::internal {

inline bool contains(const std::vector<ReplicaId> &list, const ReplicaId &id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

/// The highest value that a majority of \p voters has reached, or Value() if
/// there are no voters.
template <typename Value, typename Get>
Value reachedByQuorum(const std::vector<ReplicaId> &voters, Get get) {
  std::vector<Value> values;
  values.reserve(voters.size());
  for (const ReplicaId &id : voters)
    values.push_back(get(id));
  if (values.empty())
    return Value();
  const auto quorum = static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), values.begin() + quorum, values.end(),
                   std::greater<>());
  return values[static_cast<std::size_t>(quorum)];
}

} // namespace magnoliamill::consensus::internal

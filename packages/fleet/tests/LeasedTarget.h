// A target that uses its keys until its lease ends, for tests of the leader.
#pragma once

#include "fleet/Heartbeat.h"

#include <map>
#include <utility>
#include <vector>

namespace magnoliamill::fleet::tests {

struct LeasedTarget {
  Target Description;
  std::map<keyspace::KeyRange, keyspace::FencingToken> Held;
  std::vector<keyspace::ReleasedRange> Released;
  base::MonoTime LeaseEnd;
  base::MonoTime NextHeartbeat;

  static constexpr base::Duration LeaseTime = std::chrono::seconds(4);
  static constexpr base::Duration ReleaseInterval =
      std::chrono::milliseconds(90);

  void expire(base::MonoTime now) {
    if (now >= LeaseEnd)
      Held.clear();
  }
  /// The next heartbeat.
  Heartbeat compose() {
    ++Description.Sequence;
    Heartbeat heartbeat;
    heartbeat.Sender = Description;
    for (const auto &[range, token] : Held)
      heartbeat.Holds.push_back({range, token});
    heartbeat.Released = std::exchange(Released, {});
    return heartbeat;
  }
  /// Takes the rows of an answer to the heartbeat that was sent at \p sent.
  /// \p size is the number of keys of a stripe; a row may cover several.
  void receive(const std::vector<keyspace::GrantRow> &rows, std::uint32_t size,
               base::MonoTime sent, base::MonoTime now) {
    std::map<keyspace::KeyRange, keyspace::FencingToken> held;
    for (const auto &row : rows)
      for (auto key = row.Keys.First; key <= row.Keys.Last; key += size)
        held[{key, key + size - 1}] = row.Token;
    for (const auto &[range, token] : Held)
      if (!held.contains(range))
        Released.push_back({range, "h"});
    if (!Released.empty())
      NextHeartbeat = now + ReleaseInterval;
    Held = std::move(held);
    LeaseEnd = sent + LeaseTime;
  }
};

/// The first key range that two of the targets hold, and their ids; empty if
/// there is none.
inline std::string findSecondHolder(const std::vector<LeasedTarget> &targets) {
  std::map<keyspace::KeyRange, std::string> holders;
  for (const auto &target : targets)
    for (const auto &[range, token] : target.Held) {
      const auto &id = target.Description.Instance.Id;
      const auto [it, added] = holders.emplace(range, id);
      if (!added)
        return "key " + std::to_string(range.First) + " has two holders, " +
               it->second + " and " + id;
    }
  return {};
}

} // namespace magnoliamill::fleet::tests

// The evacuated data centres as an entry has received them. Services without
// keys avoid them at once. Keys are still served there for a time, in which
// their stripes move.
#pragma once

#include "base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliamill::entry {

class EvacuatedCentres {
public:
  /// How long targets there still get requests. The leader moves their stripes
  /// in this time, and operators are promised 5 s.
  static constexpr base::Duration ServingTime = std::chrono::seconds(2);

  /// Sets the evacuated data centres. The time of those that are new begins.
  void update(const std::vector<std::string> &centres, base::MonoTime now) {
    std::map<std::string, base::MonoTime> next;
    for (const auto &centre : centres) {
      const auto it = ClosedFrom.find(centre);
      next.emplace(centre,
                   it == ClosedFrom.end() ? now + ServingTime : it->second);
    }
    ClosedFrom = std::move(next);
  }
  bool isEvacuated(const std::string &centre) const {
    return ClosedFrom.contains(centre);
  }
  /// True if nothing may be sent to targets there.
  bool isClosed(const std::string &centre, base::MonoTime now) const {
    const auto it = ClosedFrom.find(centre);
    return it != ClosedFrom.end() && now >= it->second;
  }
  bool isEmpty() const { return ClosedFrom.empty(); }

private:
  std::map<std::string, base::MonoTime> ClosedFrom;
};

} // namespace magnoliamill::entry

// Chooses the core that issues the permits of a target or of the targets of a
// data centre. All entries choose the same core, unless it did not answer one
// of them recently. Performs no I/O.
#pragma once

#include "base/Hash.h"
#include "base/Time.h"
#include "fleet/View.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::entry {

class PermitPlaces {
public:
  /// The core for \p name, by rendezvous hashing: among the cores of \p centre,
  /// or among all if it has none. Empty if there is none, or if it is avoided:
  /// another core would count the same slots once more.
  std::string choose(const std::vector<fleet::VmAddress> &cores,
                     std::string_view centre, std::string_view name,
                     base::MonoTime now) const {
    std::string best;
    std::uint64_t most = 0;
    bool IsBestNear = false;
    for (const auto &core : cores) {
      const bool IsNear = core.DataCentre == centre;
      const auto weight = base::hash64(core.Host, base::hash64(name, 0));
      if (!best.empty() && (IsNear != IsBestNear ? IsBestNear : weight <= most))
        continue;
      best = core.Host;
      most = weight;
      IsBestNear = IsNear;
    }
    return isAvoided(best, now) ? std::string() : best;
  }

  /// The core did not answer.
  void onFault(const std::string &core, base::MonoTime now) {
    AvoidUntil[core] = now + AvoidTime;
  }

  bool isAvoided(const std::string &core, base::MonoTime now) const {
    auto it = AvoidUntil.find(core);
    return it != AvoidUntil.end() && now < it->second;
  }

  /// How long a core that did not answer is not asked. Requests are sent
  /// without a permit meanwhile.
  static constexpr base::Duration AvoidTime = std::chrono::milliseconds(1500);

private:
  std::map<std::string, base::MonoTime> AvoidUntil;
};

} // namespace magnoliamill::entry

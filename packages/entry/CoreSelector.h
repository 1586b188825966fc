// Which core an entry follows: one of its own data centre first, none that was
// lost, silent or behind a short time ago. Without I/O.
#pragma once

#include "base/Time.h"
#include "fleet/View.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::entry {

class CoreSelector {
public:
  /// \p seed spreads the entries over the seeds before they have a view.
  CoreSelector(std::string centre, std::uint64_t seed)
      : DataCentre(std::move(centre)), Seed(seed) {}

  void setSeeds(std::vector<std::string> hosts) { Seeds = std::move(hosts); }

  /// Empty when no core is known.
  std::string choose(const std::vector<fleet::CoreAddress> &known,
                     base::MonoTime now) const {
    const auto cores = listCandidates(known);
    for (const auto &core : cores)
      if (!isAvoided(core, now))
        return core;
    // All were lost lately: the one for which that is longest ago.
    const auto oldest =
        std::min_element(cores.begin(), cores.end(),
                         [this](const auto &left, const auto &right) {
                           return AvoidUntil.at(left) < AvoidUntil.at(right);
                         });
    return oldest == cores.end() ? std::string() : *oldest;
  }

  /// The core was lost, silent or behind.
  void onFault(const std::string &core, base::MonoTime now) {
    AvoidUntil[core] = now + AvoidTime;
  }

  bool isAvoided(const std::string &core, base::MonoTime now) const {
    auto it = AvoidUntil.find(core);
    return it != AvoidUntil.end() && now < it->second;
  }

  /// A cut-off core comes back at its own time: asking it sooner delays
  /// updates.
  static constexpr base::Duration AvoidTime = std::chrono::seconds(5);

private:
  std::vector<std::string>
  listCandidates(const std::vector<fleet::CoreAddress> &known) const {
    std::vector<std::string> cores;
    for (const bool IsOwn : {true, false})
      for (const auto &core : known)
        if ((core.DataCentre == DataCentre) == IsOwn)
          cores.push_back(core.Host);
    auto seeds = Seeds;
    if (!seeds.empty())
      std::rotate(seeds.begin(),
                  seeds.begin() +
                      static_cast<std::ptrdiff_t>(Seed % seeds.size()),
                  seeds.end());
    for (const auto &seed : seeds)
      if (std::find(cores.begin(), cores.end(), seed) == cores.end())
        cores.push_back(seed);
    return cores;
  }

  std::string DataCentre;
  std::uint64_t Seed;
  std::vector<std::string> Seeds;
  std::map<std::string, base::MonoTime> AvoidUntil;
};

} // namespace magnoliamill::entry

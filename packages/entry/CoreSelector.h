// Selects the core that an entry subscribes to. Prefers cores in the entry's
// own data centre and avoids cores that recently failed, stopped responding or
// had an outdated view. Performs no I/O.
#pragma once

#include "base/Hash.h"
#include "base/Time.h"
#include "fleet/View.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnoliamill::entry {

class CoreSelector {
public:
  /// \p centre is the entry's data centre. \p seed distributes the entries over
  /// the cores.
  CoreSelector(std::string centre, std::uint64_t seed)
      : DataCentre(std::move(centre)), Seed(seed) {}

  void setSeeds(std::vector<std::string> hosts) { Seeds = std::move(hosts); }

  /// The host of the core to use at \p now; empty if no core is known.
  std::string choose(const std::vector<fleet::VmAddress> &known,
                     base::MonoTime now) const {
    const auto cores = listCandidates(known);
    for (const auto &core : cores)
      if (!isAvoided(core, now))
        return core;
    // All cores failed recently: use the one whose failure is the oldest.
    const auto oldest =
        std::min_element(cores.begin(), cores.end(),
                         [this](const auto &left, const auto &right) {
                           return AvoidUntil.at(left) < AvoidUntil.at(right);
                         });
    return oldest == cores.end() ? std::string() : *oldest;
  }

  /// Whether there is another core than \p current that did not fail recently.
  bool hasOther(const std::vector<fleet::VmAddress> &known,
                std::string_view current, base::MonoTime now) const {
    return std::ranges::any_of(listCandidates(known), [&](const auto &core) {
      return core != current && !isAvoided(core, now);
    });
  }

  /// Records that the core was lost, stopped responding or had an outdated
  /// view.
  void onFault(const std::string &core, base::MonoTime now) {
    AvoidUntil[core] = now + AvoidTime;
  }

  bool isAvoided(const std::string &core, base::MonoTime now) const {
    auto it = AvoidUntil.find(core);
    return it != AvoidUntil.end() && now < it->second;
  }

  /// How long a failed core is avoided. Trying a disconnected core sooner
  /// delays view updates.
  static constexpr base::Duration AvoidTime = std::chrono::seconds(5);

private:
  std::vector<std::string>
  listCandidates(const std::vector<fleet::VmAddress> &known) const {
    // Entries of the same data centre are distributed over the cores by
    // rendezvous hashing, so that a change of the list moves few of them.
    auto sorted = known;
    std::ranges::sort(sorted, {}, [this](const fleet::VmAddress &core) {
      return std::pair(core.DataCentre != DataCentre,
                       base::hash64(core.Host, Seed));
    });
    std::vector<std::string> cores;
    cores.reserve(sorted.size());
    for (const auto &core : sorted)
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

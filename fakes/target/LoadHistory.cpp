// Keeps a bounded list of samples; the oldest is dropped first.
#include "fakes/target/LoadHistory.h"

#include <algorithm>
#include <ranges>

namespace magnoliamill::fakes {
namespace {

constexpr std::size_t MaxSamples = 20'000;

} // namespace

void LoadHistory::record(base::MonoTime now, std::int64_t running) {
  Samples.push_back({now, running});
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

std::int64_t LoadHistory::runningAt(base::MonoTime time) const {
  const auto it =
      std::find_if(Samples.rbegin(), Samples.rend(),
                   [&](const Sample &sample) { return sample.Time <= time; });
  return it == Samples.rend() ? 0 : it->Running;
}

} // namespace magnoliamill::fakes

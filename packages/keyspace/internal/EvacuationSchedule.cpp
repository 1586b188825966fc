// Spreads the release of stripes over the time of an evacuation.
#include "keyspace/EvacuationSchedule.h"

#include <chrono>
#include <utility>

namespace magnoliamill::keyspace {
namespace {

/// Upper bound of the time between two heartbeats of a target that loses
/// stripes: 100 ms and the way of the answer.
constexpr base::Duration StepTime = std::chrono::milliseconds(150);
/// The last stripes are given up by this time before the end, so that they are
/// assigned by then: the heartbeat with the release comes within 100 ms, the
/// next plan within 50 ms, and the commit takes some 10 ms.
constexpr base::Duration AssignTime = std::chrono::milliseconds(250);

} // namespace

void EvacuationSchedule::update(const std::set<std::string> &centres,
                                base::MonoTime now) {
  std::erase_if(Centres, [&](const auto &entry) {
    return !centres.contains(entry.first);
  });
  for (const auto &centre : centres)
    Centres.try_emplace(centre, Evacuation{now + Time});
}

bool EvacuationSchedule::isOver(const std::string &centre,
                                base::MonoTime now) const {
  const auto it = Centres.find(centre);
  return it != Centres.end() && now >= it->second.End;
}

double EvacuationSchedule::shareDue(const std::string &centre,
                                    base::MonoTime now) const {
  const auto it = Centres.find(centre);
  if (it == Centres.end())
    return 0;
  const base::Duration left = it->second.End - AssignTime - now;
  if (left <= StepTime)
    return 1;
  return static_cast<double>(StepTime.count()) /
         static_cast<double>(left.count());
}

std::vector<std::string> EvacuationSchedule::takeOver(base::MonoTime now) {
  std::vector<std::string> over;
  for (auto &[centre, evacuation] : Centres)
    if (now >= evacuation.End && !std::exchange(evacuation.IsTaken, true))
      over.push_back(centre);
  return over;
}

} // namespace magnoliamill::keyspace

// Ranks the known entries by data centre and by relayed requests in flight.
#include "entry/RelayPeers.h"

#include <algorithm>
#include <utility>

namespace magnoliamill::entry {

void RelayPeers::update(std::span<const fleet::VmAddress> entries) {
  std::map<std::string, Peer> updated;
  for (const auto &it : entries) {
    auto known = Peers.find(it.Host);
    Peer &peer = updated[it.Host];
    if (known != Peers.end())
      peer = known->second;
    peer.DataCentre = it.DataCentre;
  }
  Peers = std::move(updated);
}

std::string RelayPeers::choose(std::span<const std::string> tried,
                               base::MonoTime now) {
  if (now < SuspendedUntil)
    return {};
  std::string best;
  std::pair<std::uint32_t, std::uint64_t> least;
  for (const auto &[host, peer] : Peers) {
    if (now < peer.AvoidUntil || std::ranges::find(tried, host) != tried.end())
      continue;
    const bool IsNear = peer.DataCentre == DataCentre;
    const std::pair value(peer.InFlight + (IsNear ? 0 : DataCentreAdvantage),
                          Random());
    if (!best.empty() && value >= least)
      continue;
    best = host;
    least = value;
  }
  return best;
}

void RelayPeers::onSent(const std::string &host) {
  if (auto it = Peers.find(host); it != Peers.end())
    ++it->second.InFlight;
}

void RelayPeers::onDone(const std::string &host) {
  if (auto it = Peers.find(host); it != Peers.end() && it->second.InFlight > 0)
    --it->second.InFlight;
}

void RelayPeers::onUnusable(const std::string &host, base::MonoTime now) {
  if (auto it = Peers.find(host); it != Peers.end())
    it->second.AvoidUntil = now + AvoidTime;
}

void RelayPeers::onSilent(const std::string &host, base::MonoTime now) {
  onUnusable(host, now);
  Silent.insert(host);
  if (Silent.size() < SilentToSuspend)
    return;
  Silent.clear();
  SuspendedUntil = now + SuspendTime;
}

} // namespace magnoliamill::entry

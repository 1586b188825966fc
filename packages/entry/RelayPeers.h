// Chooses the entry to which a request is relayed whose target this VM can't
// reach: one with few relayed requests, preferably of the own data centre, that
// did not fail recently. Performs no I/O.
#pragma once

#include "base/Time.h"
#include "fleet/View.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace magnoliamill::entry {

class RelayPeers {
public:
  /// \p centre is the data centre of this VM.
  RelayPeers(std::string centre, std::uint64_t seed)
      : DataCentre(std::move(centre)), Random(seed) {}

  /// Replaces the known entries. Those that remain keep what is known of them.
  void update(std::span<const fleet::VmAddress> entries);

  /// The entry to use next, without those in \p tried; empty if there is none.
  std::string choose(std::span<const std::string> tried, base::MonoTime now);

  /// A request was sent to the entry, and has ended there.
  void onSent(const std::string &host);
  void onDone(const std::string &host);
  /// The entry is not running or stopping, or can't reach targets either.
  void onUnusable(const std::string &host, base::MonoTime now);
  /// A connection to the entry was not accepted in time. Several such entries,
  /// and none that answered since, mean that this VM's own link is at fault:
  /// then there is nothing to choose for a while.
  void onSilent(const std::string &host, base::MonoTime now);
  /// The entry has answered.
  void onAnswered() { Silent.clear(); }

  std::size_t size() const { return Peers.size(); }

  /// An entry of another data centre is used if one of the own has this many
  /// relayed requests more: traffic between data centres is charged.
  static constexpr std::uint32_t DataCentreAdvantage = 4;
  /// Silent entries that show a fault of the own link.
  static constexpr std::size_t SilentToSuspend = 3;
  /// How long no entry is chosen then.
  static constexpr base::Duration SuspendTime = std::chrono::seconds(2);
  /// How long an unusable entry is avoided.
  static constexpr base::Duration AvoidTime = std::chrono::seconds(1);

private:
  struct Peer {
    std::string DataCentre;
    std::uint32_t InFlight = 0;
    base::MonoTime AvoidUntil{};
  };

  std::string DataCentre;
  std::mt19937_64 Random;
  std::map<std::string, Peer> Peers;
  /// Entries that were silent since the last answer of one.
  std::set<std::string> Silent;
  base::MonoTime SuspendedUntil{};
};

} // namespace magnoliamill::entry

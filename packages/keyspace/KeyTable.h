// The replicated ownership state: owner and fencing token of each stripe.
#pragma once

#include "keyspace/Types.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliamill::keyspace {

/// Owners, fencing tokens and handover data of the stripes of one service.
class ServiceKeys {
public:
  explicit ServiceKeys(std::uint32_t stripes) : Stripes(stripes) {}
  // Stripes point to keys of ByOwner. Moving the map keeps them valid; copying
  // would not.
  ServiceKeys(const ServiceKeys &) = delete;
  ServiceKeys &operator=(const ServiceKeys &) = delete;
  ServiceKeys(ServiceKeys &&) noexcept = default;
  ServiceKeys &operator=(ServiceKeys &&) noexcept = default;

  std::uint32_t countStripes() const {
    return static_cast<std::uint32_t>(Stripes.size());
  }
  /// Null if the stripe was never assigned.
  const TargetInstance *ownerOf(std::uint32_t stripe) const;
  FencingToken tokenOf(std::uint32_t stripe) const {
    return Stripes[stripe].Token;
  }
  const std::string &handoverOf(std::uint32_t stripe) const {
    return Stripes[stripe].Handover;
  }
  /// True if an earlier instance of the owner had the stripe before it.
  bool isInherited(std::uint32_t stripe) const {
    return Stripes[stripe].IsInherited;
  }
  /// Stripes of \p instance in ascending order.
  std::span<const std::uint32_t>
  stripesOf(const TargetInstance &instance) const;
  /// All target instances that own at least one stripe.
  std::vector<TargetInstance> listOwners() const;

  void assign(std::uint32_t stripe, const TargetInstance &instance,
              FencingToken token, std::string handover);
  /// Restores the mark that assign() sets, from a snapshot.
  void markInherited(std::uint32_t stripe) {
    Stripes[stripe].IsInherited = true;
  }

  /// Records that an answer to this heartbeat may grant the owner stripes that
  /// it didn't report. Of heartbeats from one address the latest counts. Has no
  /// effect if \p instance owns no stripe.
  void recordGrant(const TargetInstance &instance, SentHeartbeat heartbeat);
  /// The last recorded heartbeat since the owner got its first stripe; null if
  /// there is none.
  const SentHeartbeat *lastGrantOf(const TargetInstance &instance) const;

private:
  struct Stripe {
    const TargetInstance *Owner = nullptr;
    FencingToken Token = 0;
    std::string Handover;
    bool IsInherited = false;
  };
  struct Owned {
    /// In ascending order; not empty.
    std::vector<std::uint32_t> Stripes;
    std::optional<SentHeartbeat> LastGrant;
  };
  std::vector<Stripe> Stripes;
  /// Stripe::Owner points to a key of this map.
  std::map<TargetInstance, Owned> ByOwner;
};

/// The stripes of all services.
class KeyTable {
public:
  /// Applies a committed assignment. Its log \p index becomes the token of the
  /// moved stripes. Returns the stripes that were moved; moves that are out of
  /// range or were planned with an older token are ignored.
  std::vector<std::uint32_t> apply(const KeyAssignment &assignment,
                                   FencingToken index);
  /// Applies a committed record, see ServiceKeys::recordGrant().
  void apply(const GrantRecord &record);

  /// Null if no stripe of the service was ever assigned.
  const ServiceKeys *find(std::string_view service) const;
  const std::map<std::string, ServiceKeys, std::less<>> &services() const {
    return Services;
  }
  /// Sets the stripes of a service from a snapshot.
  void restore(std::string service, ServiceKeys keys);
  void clear() { Services.clear(); }

private:
  std::map<std::string, ServiceKeys, std::less<>> Services;
};

} // namespace magnoliamill::keyspace

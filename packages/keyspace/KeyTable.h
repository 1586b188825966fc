// The replicated part of ownership: owner and fencing token of each stripe.
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

/// The stripes of one service.
class ServiceKeys {
public:
  explicit ServiceKeys(std::uint32_t stripes) : Stripes(stripes) {}
  // Stripes point into ByOwner, whose nodes stay in place when it is moved.
  ServiceKeys(const ServiceKeys &) = delete;
  ServiceKeys &operator=(const ServiceKeys &) = delete;
  ServiceKeys(ServiceKeys &&) noexcept = default;
  ServiceKeys &operator=(ServiceKeys &&) noexcept = default;

  std::uint32_t countStripes() const {
    return static_cast<std::uint32_t>(Stripes.size());
  }
  /// Null when nobody was ever given the stripe.
  const TargetInstance *ownerOf(std::uint32_t stripe) const;
  FencingToken tokenOf(std::uint32_t stripe) const {
    return Stripes[stripe].Token;
  }
  const std::string &handoverOf(std::uint32_t stripe) const {
    return Stripes[stripe].Handover;
  }
  /// Stripes of \p instance in ascending order.
  std::span<const std::uint32_t>
  stripesOf(const TargetInstance &instance) const;
  /// All lives that own a stripe.
  std::vector<TargetInstance> listOwners() const;

  void assign(std::uint32_t stripe, const TargetInstance &instance,
              FencingToken token, std::string handover);

private:
  struct Stripe {
    const TargetInstance *Owner = nullptr;
    FencingToken Token = 0;
    std::string Handover;
  };
  std::vector<Stripe> Stripes;
  /// Stripe.Owner points to a key of this map. No entry is empty.
  std::map<TargetInstance, std::vector<std::uint32_t>> ByOwner;
};

class KeyTable {
public:
  /// Applies a committed assignment; \p index becomes the token of the stripes
  /// that it moves. Returns the stripes that were moved.
  std::vector<std::uint32_t> apply(const KeyAssignment &assignment,
                                   FencingToken index);

  /// Null when no stripe of the service was ever assigned.
  const ServiceKeys *find(std::string_view service) const;
  const std::map<std::string, ServiceKeys, std::less<>> &services() const {
    return Services;
  }
  /// Takes the stripes of a snapshot.
  void restore(std::string service, ServiceKeys keys);
  void clear() { Services.clear(); }

private:
  std::map<std::string, ServiceKeys, std::less<>> Services;
};

} // namespace magnoliamill::keyspace

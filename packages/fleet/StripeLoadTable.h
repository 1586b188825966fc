// Used by the leader: combines the entries' reports into the load of each
// stripe. Does no I/O.
#pragma once

#include "base/Time.h"
#include "fleet/StripeLoad.h"
#include "keyspace/KeyTable.h"
#include "keyspace/StripeLoads.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliamill::fleet {

class StripeLoadTable {
public:
  /// The mean time that a request of the service occupies a slot; zero if it is
  /// not known.
  using WorkTimeHook = std::function<base::Duration(const std::string &)>;

  /// Loads are kept for the services of \p keys only, so that their number is
  /// bounded.
  explicit StripeLoadTable(const keyspace::KeyTable &keys,
                           WorkTimeHook hook = {});

  /// Parts of services without stripes, by another number of stripes or of an
  /// interval that is too long are ignored.
  void add(const StripeLoadReport &report, base::MonoTime now);
  /// Null as long as too few requests were reported.
  const keyspace::StripeLoads *find(const std::string &service,
                                    base::MonoTime now);

private:
  /// Sums whose parts decay with their age.
  struct Sums {
    explicit Sums(base::Duration memory) : Memory(memory) {}
    void resize(std::uint32_t stripes);
    void decay(base::Duration time);
    double perSecond(std::size_t stripe, double entries) const;
    /// The time in which a plain count has the same variance.
    double windowOf(std::size_t stripe, double entries) const;

    /// Time in which the weight falls to 1/e.
    base::Duration Memory;
    /// Requests of each stripe.
    std::vector<float> ByStripe;
    /// Requests of each stripe in addition, not measured by stripe.
    double Rest = 0;
    double Total = 0;
    /// The intervals of the reports, and the same for each stripe since its
    /// load has changed. Rates are relative to them: reports come in steps.
    double Covered = 0;
    std::vector<float> CoveredByStripe;
    /// The part of Covered that is not in CoveredByStripe yet.
    double Added = 0;
    /// The time in which they came.
    double Passed = 0;
  };
  struct Service {
    Service();
    base::MonoTime Since;
    base::MonoTime LastReport;
    base::MonoTime LastStep;
    Sums Slow;
    Sums Fast;
    keyspace::StripeLoads Loads;
    bool IsKnown = false;
  };
  void step(const std::string &name, Service &service, base::MonoTime now);
  static void estimate(Service &service);

  const keyspace::KeyTable *Keys;
  WorkTimeHook ReadWorkTime;
  std::map<std::string, Service> Services;
};

} // namespace magnoliamill::fleet

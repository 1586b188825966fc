// Reads and validates the fields of a service.
#include "settings/internal/ServiceSchema.h"

#include "settings/Schema.h"
#include "settings/SettingsPath.h"
#include "settings/internal/VmFields.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace magnoliamill::settings::internal {
using base::ResultCode;

namespace {

constexpr std::size_t MaxDataCentres = 64;
constexpr std::size_t MaxRoutes = 256;
constexpr std::size_t MaxRoutePrefix = 1024;
constexpr std::size_t MaxClientAccounts = 1024;
constexpr IntegerRange DeadlineRangeMs{1, 600000};
constexpr IntegerRange QueueRange{1, 100000};
constexpr IntegerRange ClientAccountWeightRange{1, 1000};
constexpr IntegerRange PercentRange{0, 100};
constexpr double MaxWeight = 1000;

void readSlots(ObjectReader &reader, ServiceView &service) {
  auto keyed = reader.readBool("keyed", Presence::Required);
  auto slots = reader.readInteger("slots", Presence::Optional, {0, MaxSlots})
                   .value_or(0);
  if (!keyed)
    return;
  service.Keyed = *keyed;
  service.Slots = static_cast<std::uint32_t>(slots);
  if (service.Keyed && !reader.has("slots"))
    reader.report("slots", ResultCode::MissingField,
                  "is required for a keyed service");
  else if (service.Keyed && slots == 0)
    reader.report("slots", ResultCode::OutOfRange,
                  fmt::format("must be 1 to {} for a keyed service", MaxSlots));
  else if (!service.Keyed && slots != 0)
    reader.report("slots", ResultCode::OutOfRange,
                  "must be absent or 0 for a service without keys");
}

void readDataCentres(ObjectReader &reader, ServiceView &service) {
  auto names =
      reader.readStrings("data_centres", Presence::Required, MaxDataCentres);
  if (names.empty() && reader.has("data_centres"))
    reader.report("data_centres", ResultCode::OutOfRange,
                  "must name at least one data centre");
  for (std::size_t i = 0; i < names.size(); ++i) {
    base::DataCentreId id(names[i]);
    if (!isPathName(names[i]))
      reader.report("data_centres", ResultCode::OutOfRange,
                    fmt::format("item {}: not a name", i));
    else if (std::ranges::find(service.DataCentres, id) !=
             service.DataCentres.end())
      reader.report("data_centres", ResultCode::OutOfRange,
                    fmt::format("item {}: '{}' is named twice", i, names[i]));
    else
      service.DataCentres.push_back(id);
  }
}

void readClientAccounts(ObjectReader &reader, ServiceView &service,
                        Faults &faults) {
  const auto *value =
      reader.readAny("client_account_weights", Presence::Optional);
  if (value) {
    ObjectReader weights(*value, reader.pathOf("client_account_weights"),
                         faults);
    const auto *object = value->if_object();
    if (object && object->size() > MaxClientAccounts)
      reader.report("client_account_weights", ResultCode::OutOfRange,
                    fmt::format("must have at most {} client accounts",
                                MaxClientAccounts));
    for (std::size_t i = 0; object && i < object->size(); ++i) {
      auto key = (object->begin() + i)->key();
      std::string account(key.data(), key.size());
      if (!isPathName(account))
        weights.report(account, ResultCode::OutOfRange, "not a name");
      auto weight = weights.readInteger(account, Presence::Required,
                                        ClientAccountWeightRange);
      if (weight)
        service.ClientAccountWeights[base::ClientAccountId(account)] =
            static_cast<std::uint32_t>(*weight);
    }
  }
  service.OnlyListedClientAccounts =
      reader.readBool("only_listed_client_accounts", Presence::Optional)
          .value_or(false);
  if (service.OnlyListedClientAccounts && !value)
    reader.report("only_listed_client_accounts", ResultCode::OutOfRange,
                  "needs client_account_weights, otherwise nobody may call");
}

RouteRule readRoute(const boost::json::value &value, const std::string &path,
                    Faults &faults) {
  RouteRule rule;
  ObjectReader reader(value, path, faults);
  rule.Prefix = reader.readString("prefix", Presence::Required).value_or("");
  if (reader.has("prefix") &&
      (!rule.Prefix.starts_with('/') || rule.Prefix.size() > MaxRoutePrefix))
    reader.report("prefix", ResultCode::OutOfRange,
                  fmt::format("must start with '/' and have at most {} "
                              "characters",
                              MaxRoutePrefix));
  auto name = reader.readString("class", Presence::Optional);
  if (name && *name == "urgent")
    rule.Class = Urgency::Urgent;
  else if (name && *name != "normal")
    reader.report("class", ResultCode::OutOfRange,
                  "must be \"normal\" or \"urgent\"");
  rule.Idempotent = reader.readBool("idempotent", Presence::Optional);
  reader.finish();
  return rule;
}

void readRoutes(ObjectReader &reader, ServiceView &service, Faults &faults) {
  const auto *items = reader.readArray("routes", Presence::Optional, MaxRoutes);
  if (!items)
    return;
  for (std::size_t i = 0; i < items->size(); ++i)
    service.Routes.push_back(readRoute(
        (*items)[i], fmt::format("{}/{}", reader.pathOf("routes"), i), faults));
}

void readWeights(ObjectReader &reader, ServiceView &service, Faults &faults) {
  const auto *value = reader.readAny("weights", Presence::Optional);
  if (!value)
    return;
  ObjectReader weights(*value, reader.pathOf("weights"), faults);
  auto &out = service.Weights;
  out.Imbalance =
      weights.readNumber("imbalance", 0, MaxWeight).value_or(out.Imbalance);
  out.Churn = weights.readNumber("churn", 0, MaxWeight).value_or(out.Churn);
  out.Unavailable =
      weights.readNumber("unavailable", 0, MaxWeight).value_or(out.Unavailable);
  weights.finish();
  if (out.Imbalance + out.Churn + out.Unavailable <= 0)
    reader.report("weights", ResultCode::OutOfRange,
                  "at least one weight must be above 0");
}

void readLimits(ObjectReader &reader, ServiceView &service) {
  if (auto ms = reader.readInteger("default_deadline_ms", Presence::Optional,
                                   DeadlineRangeMs))
    service.DefaultDeadline = std::chrono::milliseconds(*ms);
  if (auto n = reader.readInteger("queue_limit_per_target", Presence::Optional,
                                  QueueRange))
    service.QueueLimitPerTarget = static_cast<std::uint32_t>(*n);
  if (auto n = reader.readInteger("retry_budget_percent", Presence::Optional,
                                  PercentRange))
    service.RetryBudgetPercent = static_cast<std::uint32_t>(*n);
}

} // namespace

void readServiceFields(ObjectReader &reader, ServiceView &service,
                       Faults &faults) {
  readSlots(reader, service);
  readDataCentres(reader, service);
  readClientAccounts(reader, service, faults);
  readRoutes(reader, service, faults);
  readWeights(reader, service, faults);
  readLimits(reader, service);
  service.TargetHosts =
      readIpPrefixes(reader, "target_hosts", Presence::Optional);
}

} // namespace magnoliamill::settings::internal

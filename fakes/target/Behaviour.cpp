// Maps the fields of Behaviour to their JSON names.
#include "fakes/target/Behaviour.h"

#include <array>
#include <string_view>

namespace magnoliamill::fakes {
namespace {

using base::ResultCode;

struct IntegerField {
  std::string_view Name;
  std::int64_t Behaviour::*Member;
};
struct BooleanField {
  std::string_view Name;
  bool Behaviour::*Member;
};

constexpr std::array Integers = std::to_array<IntegerField>({
    {"service_ms", &Behaviour::ServiceMs},
    {"service_jitter_ms", &Behaviour::ServiceJitterMs},
    {"cold_start_ms", &Behaviour::ColdStartMs},
    {"shed_over", &Behaviour::ShedOver},
    {"health_lag_ms", &Behaviour::HealthLagMs},
    {"body_bytes", &Behaviour::BodyBytes},
    {"truncate_every", &Behaviour::TruncateEvery},
});
constexpr std::array Booleans = std::to_array<BooleanField>({
    {"checks_tokens", &Behaviour::ChecksTokens},
    {"cancel", &Behaviour::Cancel},
    {"deadlines", &Behaviour::Deadlines},
    {"enforce_slots", &Behaviour::EnforceSlots},
    {"announces", &Behaviour::Announces},
});
constexpr std::string_view HealthOverrideName = "lie_health";

base::Result<void> applyField(Behaviour &behaviour, std::string_view name,
                              const boost::json::value &value) {
  for (const auto &field : Integers) {
    if (field.Name != name)
      continue;
    if (!value.is_int64() || value.get_int64() < 0)
      return base::fail(ResultCode::WrongType,
                        std::string(name) +
                            " must be an integer of at least 0");
    behaviour.*field.Member = value.get_int64();
    return base::ok();
  }
  for (const auto &field : Booleans) {
    if (field.Name != name)
      continue;
    if (!value.is_bool())
      return base::fail(ResultCode::WrongType,
                        std::string(name) + " must be true or false");
    behaviour.*field.Member = value.get_bool();
    return base::ok();
  }
  if (name != HealthOverrideName)
    return base::fail(ResultCode::UnknownField, std::string(name));
  if (!value.is_string())
    return base::fail(ResultCode::WrongType, "lie_health must be a string");
  behaviour.HealthOverride = std::string(value.get_string());
  return base::ok();
}

} // namespace

base::Result<void> applyChange(Behaviour &behaviour,
                               const boost::json::object &change) {
  Behaviour changed = behaviour;
  for (const auto &field : change)
    if (auto applied = applyField(changed, field.key(), field.value());
        !applied)
      return applied;
  behaviour = std::move(changed);
  return base::ok();
}

boost::json::object describe(const Behaviour &behaviour) {
  boost::json::object document;
  for (const auto &field : Integers)
    document[field.Name] = behaviour.*field.Member;
  for (const auto &field : Booleans)
    document[field.Name] = behaviour.*field.Member;
  document[HealthOverrideName] = behaviour.HealthOverride;
  return document;
}

} // namespace magnoliamill::fakes

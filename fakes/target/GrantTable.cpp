// Implements the rules by which a target accepts grants and requests.
#include "fakes/target/GrantTable.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace magnoliamill::fakes {

using base::ResultCode;

base::Result<GrantTable::Grant> GrantTable::parse(std::string_view body) {
  try {
    const boost::json::value document = boost::json::parse(body);
    const auto &object = document.as_object();
    Grant grant;
    grant.Dispatcher = std::string(object.at("dispatcher").as_string());
    auto dispatch = base::parseToken(object.at("dispatch_token").as_string());
    if (!dispatch)
      return base::fail(dispatch.error());
    grant.DispatchToken = dispatch.value();
    grant.AsOf = object.at("as_of").to_number<std::int64_t>();
    grant.TtlMs = object.at("ttl_ms").to_number<std::int64_t>();
    if (const auto *sequence = object.if_contains("sequence"))
      grant.Sequence = sequence->to_number<std::uint64_t>();
    for (const auto &item : object.at("slots").as_array()) {
      const auto &slot = item.as_object();
      auto token = base::parseToken(slot.at("token").as_string());
      if (!token)
        return base::fail(token.error());
      grant.Slots[slot.at("slot").to_number<base::SlotNumber>()] =
          token.value();
    }
    return grant;
  } catch (const std::exception &error) {
    return base::fail(ResultCode::JsonMalformed, error.what());
  }
}

bool GrantTable::isStale(const Grant &grant, std::int64_t now) const {
  // The clock value is in the future, so this target cannot have issued it.
  if (grant.AsOf > now)
    return true;
  if (grant.DispatchToken != HighestDispatchToken)
    return grant.DispatchToken < HighestDispatchToken;
  return grant.AsOf < LastAsOf || grant.Sequence < LastSequence;
}

base::Result<std::string> GrantTable::apply(std::string_view body,
                                            std::int64_t now) {
  auto parsed = parse(body);
  if (!parsed)
    return base::fail(parsed.error());
  const Grant &grant = parsed.value();
  boost::json::object reply;
  reply["clock"] = now;
  reply["accepted"] = !isStale(grant, now);
  if (isStale(grant, now)) {
    ++StaleCount;
    reply["highest"] = base::formatToken(HighestDispatchToken);
    return boost::json::serialize(reply);
  }
  HighestDispatchToken = grant.DispatchToken;
  LastAsOf = grant.AsOf;
  LastSequence = grant.Sequence;
  ExpiresAt = grant.AsOf + grant.TtlMs;
  Slots = grant.Slots;
  for (const auto &[slot, token] : Slots)
    HighestTokens[slot] = std::max(HighestTokens[slot], token);
  return boost::json::serialize(reply);
}

std::optional<std::string>
GrantTable::findRefusalReason(base::SlotNumber slot,
                              const std::optional<base::Token> &token,
                              std::int64_t now) const {
  const auto it = Slots.find(slot);
  if (it == Slots.end())
    return "slot not granted";
  if (now >= ExpiresAt)
    return "grant expired";
  if (!token)
    return "no token";
  if (*token < HighestTokens.at(slot))
    return "token is old";
  return std::nullopt;
}

} // namespace magnoliamill::fakes

// Parses, validates and encodes the announcements of targets.
#include "ownership/Announcement.h"

#include "base/JsonReader.h"
#include "base/StrictJson.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace magnoliamill::ownership {

using base::ResultCode;

namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr std::uint32_t MaxTargetSlots = 10000;

bool isNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == ':';
}

bool isValidName(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameLength &&
         std::ranges::all_of(text, isNameCharacter);
}

bool isNumericIp(const std::string &host) {
  in6_addr buf{};
  return inet_pton(AF_INET, host.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &buf) == 1;
}

/// True when \p host equals \p rule or is in the IPv4 prefix \p rule.
bool isInPrefix(const std::string &host, const std::string &rule) {
  const auto slash = rule.find('/');
  if (slash == std::string::npos)
    return host == rule;
  in_addr address{};
  in_addr network{};
  unsigned bits = 0;
  const char *end = rule.data() + rule.size();
  const auto parsed = std::from_chars(rule.data() + slash + 1, end, bits);
  if (parsed.ptr != end || bits > 32 ||
      inet_pton(AF_INET, host.c_str(), &address) != 1 ||
      inet_pton(AF_INET, rule.substr(0, slash).c_str(), &network) != 1)
    return false;
  const auto mask =
      bits == 0 ? 0U : ~std::uint32_t{0} << static_cast<int>(32 - bits);
  return ((ntohl(address.s_addr) ^ ntohl(network.s_addr)) & mask) == 0;
}

std::optional<base::Error> validateFields(const Announcement &it) {
  const std::pair<std::string_view, std::string_view> names[] = {
      {"instance", it.Instance.Value},
      {"name", it.Name},
      {"service", it.Service.Value},
      {"data_centre", it.DataCentre.Value}};
  for (const auto &[field, value] : names)
    if (!isValidName(value))
      return base::Error{ResultCode::AnnouncementInvalid,
                         fmt::format("field \"{}\" must have 1 to {} letters, "
                                     "digits or - _ . :",
                                     field, MaxNameLength)};
  if (!isNumericIp(it.Host))
    return base::Error{ResultCode::AnnouncementInvalid,
                       "field \"host\" must be a numeric IP"};
  if (it.Port == 0 || it.Slots == 0)
    return base::Error{ResultCode::OutOfRange,
                       "fields \"port\" and \"slots\" must be above 0"};
  return std::nullopt;
}

} // namespace

base::Result<Announcement> parseAnnouncement(std::string_view text) {
  auto json = base::parseStrictJson(text);
  if (!json)
    return base::fail(json.error());
  base::JsonReader reader(json.value());
  Announcement it;
  it.Instance = base::TargetInstanceId(reader.text("instance"));
  it.Name = reader.text("name");
  it.Service = base::ServiceId(reader.text("service"));
  it.DataCentre = base::DataCentreId(reader.text("data_centre"));
  it.Host = reader.text("host");
  it.Port = static_cast<std::uint16_t>(reader.number("port", 65535));
  it.Slots = static_cast<std::uint32_t>(reader.number("slots", MaxTargetSlots));
  it.ChecksTokens = reader.flag("checks_tokens", false);
  it.CanCancel = reader.flag("cancel", false);
  it.HonoursDeadlines = reader.flag("deadlines", false);
  it.ClockMs = reader.milliseconds("clock");
  it.Leaving = reader.flag("leaving", false);
  reader.mergeError(validateFields(it));
  if (reader.error())
    return base::fail(*reader.error());
  return it;
}

bool isHostAllowed(const std::string &host,
                   std::span<const std::string> allowed) {
  auto matches = [&](const std::string &rule) {
    return isInPrefix(host, rule);
  };
  return allowed.empty() || std::ranges::any_of(allowed, matches);
}

std::string encodeAnnouncement(const Announcement &target) {
  return boost::json::serialize(
      boost::json::object{{"instance", target.Instance.Value},
                          {"name", target.Name},
                          {"service", target.Service.Value},
                          {"data_centre", target.DataCentre.Value},
                          {"host", target.Host},
                          {"port", target.Port},
                          {"slots", target.Slots},
                          {"checks_tokens", target.ChecksTokens},
                          {"cancel", target.CanCancel},
                          {"deadlines", target.HonoursDeadlines},
                          {"clock", target.ClockMs},
                          {"leaving", target.Leaving}});
}

} // namespace magnoliamill::ownership

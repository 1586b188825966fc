// Reads the fields shared by the settings tree and the daemon's settings file.
#include "settings/internal/VmFields.h"

#include "settings/Access.h"
#include "settings/Schema.h"
#include "settings/internal/IpPrefix.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace magnoliamill::settings {
namespace internal {
using base::ResultCode;

namespace {

constexpr std::size_t MaxIpPrefixes = 256;

} // namespace

std::optional<std::string> readIp(ObjectReader &reader,
                                  std::string_view field) {
  auto text = reader.readString(field, Presence::Required);
  if (!text || isNumericIp(*text))
    return text;
  reader.report(field, ResultCode::OutOfRange, "must be a numeric IP");
  return std::nullopt;
}

std::vector<std::string> readIpPrefixes(ObjectReader &reader,
                                        std::string_view field, Presence need) {
  auto texts = reader.readStrings(field, need, MaxIpPrefixes);
  for (std::size_t i = 0; i < texts.size(); ++i)
    if (!parseIpPrefix(texts[i]))
      reader.report(field, ResultCode::OutOfRange,
                    fmt::format("item {}: must be a numeric IP or a prefix "
                                "like 10.0.0.0/8",
                                i));
  return texts;
}

std::optional<std::string>
readTokenHash(ObjectReader &reader, std::string_view field, Presence need) {
  auto text = reader.readString(field, need);
  if (!text || isTokenHash(*text))
    return text;
  reader.report(field, ResultCode::OutOfRange,
                "must be the SHA-256 of the token in 64 lower-case "
                "hexadecimal digits");
  return std::nullopt;
}

void readVmFields(ObjectReader &reader, VmView &vm) {
  if (auto centre = reader.readName("data_centre", Presence::Required))
    vm.DataCentre = base::DataCentreId(*centre);
  vm.Host = readIp(reader, "host").value_or("");
  vm.PeerPort = static_cast<std::uint16_t>(
      reader.readInteger("peer_port", Presence::Required, PortRange)
          .value_or(0));
  vm.HttpPort = static_cast<std::uint16_t>(
      reader.readInteger("http_port", Presence::Required, PortRange)
          .value_or(0));
  vm.HasDisk = reader.readBool("disk", Presence::Optional).value_or(false);
  if (vm.PeerPort != 0 && vm.PeerPort == vm.HttpPort)
    reader.report("http_port", ResultCode::DuplicateAddress,
                  "must differ from peer_port");
}

} // namespace internal

std::string renderVm(const VmView &vm) {
  return boost::json::serialize(
      boost::json::object{{"data_centre", vm.DataCentre.Value},
                          {"host", vm.Host},
                          {"peer_port", vm.PeerPort},
                          {"http_port", vm.HttpPort},
                          {"disk", vm.HasDisk}});
}

} // namespace magnoliamill::settings

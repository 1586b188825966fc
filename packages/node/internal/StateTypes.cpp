// JSON encoding of the reports between VMs.
#include "node/StateTypes.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace magnoliamill::node {

std::string encodeNodeReport(const NodeReport &report) {
  const auto &replica = report.DataCentreReplica;
  boost::json::object out;
  out["vm"] = report.Vm.Value;
  out["data_centre"] = report.DataCentre.Value;
  out["in_force"] = report.InForce;
  out["settings_incarnation"] = report.SettingsIncarnation;
  out["replica_incarnation"] = replica.Replica.Incarnation;
  out["candidate"] = replica.Candidate;
  out["held_epoch"] = replica.HeldEpoch;
  out["known_epoch"] = replica.KnownEpoch;
  boost::json::array voters;
  for (const auto &voter : replica.Voters)
    voters.push_back({voter.Vm.Value, voter.Incarnation});
  out["voters"] = std::move(voters);
  return boost::json::serialize(out);
}

base::Result<NodeReport> decodeNodeReport(std::string_view text) {
  boost::system::error_code ec;
  auto parsed = boost::json::parse(text, ec);
  if (ec || !parsed.is_object())
    return base::fail(base::ResultCode::PeerProtocol, "report is not JSON");
  try {
    const auto &in = parsed.as_object();
    NodeReport report;
    report.Vm = base::VmId(boost::json::value_to<std::string>(in.at("vm")));
    report.DataCentre = base::DataCentreId(
        boost::json::value_to<std::string>(in.at("data_centre")));
    report.InForce = in.at("in_force").to_number<std::uint64_t>();
    report.SettingsIncarnation =
        in.at("settings_incarnation").to_number<std::uint64_t>();
    auto &replica = report.DataCentreReplica;
    replica.DataCentre = report.DataCentre;
    replica.Replica = {report.Vm,
                       in.at("replica_incarnation").to_number<std::uint64_t>()};
    replica.Candidate = in.at("candidate").as_bool();
    replica.HeldEpoch = in.at("held_epoch").to_number<std::uint64_t>();
    replica.KnownEpoch = in.at("known_epoch").to_number<std::uint64_t>();
    for (const auto &voter : in.at("voters").as_array())
      replica.Voters.push_back(
          {base::VmId(boost::json::value_to<std::string>(voter.at(0))),
           voter.at(1).to_number<std::uint64_t>()});
    return report;
  } catch (const std::exception &error) {
    return base::fail(base::ResultCode::PeerProtocol, error.what());
  }
}

} // namespace magnoliamill::node

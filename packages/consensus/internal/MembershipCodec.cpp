// Converts a membership to JSON and back.
#include "consensus/MembershipCodec.h"

#include <boost/json.hpp>

namespace magnoliamill::consensus {

namespace {

namespace json = boost::json;

json::array encodeReplicas(const std::vector<ReplicaId> &replicas) {
  json::array out;
  for (const ReplicaId &id : replicas)
    out.push_back(
        json::object{{"vm", id.Vm.Value}, {"incarnation", id.Incarnation}});
  return out;
}

bool decodeReplicas(const json::object &parent, std::string_view key,
                    std::vector<ReplicaId> &out) {
  const json::value *list = parent.if_contains(key);
  if (list == nullptr || !list->is_array())
    return false;
  for (const json::value &item : list->get_array()) {
    const json::object *fields = item.if_object();
    if (fields == nullptr)
      return false;
    const json::value *vm = fields->if_contains("vm");
    const json::value *number = fields->if_contains("incarnation");
    if (vm == nullptr || !vm->is_string() || number == nullptr)
      return false;
    boost::system::error_code ec;
    const auto Incarnation = number->to_number<std::uint64_t>(ec);
    if (ec)
      return false;
    const std::string_view name = vm->get_string();
    out.push_back({base::VmId(name), Incarnation});
  }
  return true;
}

} // namespace

std::string encodeMembership(const Membership &membership) {
  const json::object out{{"voters", encodeReplicas(membership.Voters)},
                         {"learners", encodeReplicas(membership.Learners)}};
  return json::serialize(out);
}

base::Result<Membership> decodeMembership(std::string_view text) {
  boost::system::error_code ec;
  const json::value parsed = json::parse(text, ec);
  if (ec)
    return base::fail(base::ResultCode::JsonMalformed,
                      "membership: " + ec.message());
  Membership out;
  const json::object *fields = parsed.if_object();
  if (fields == nullptr || !decodeReplicas(*fields, "voters", out.Voters) ||
      !decodeReplicas(*fields, "learners", out.Learners))
    return base::fail(base::ResultCode::WrongType,
                      "membership: voters and learners must be lists of "
                      "{vm, incarnation}");
  return out;
}

} // namespace magnoliamill::consensus

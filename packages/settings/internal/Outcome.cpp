// Encodes outcomes of changes as JSON, for proposers and for operators.
#include "settings/Commands.h"
#include "settings/internal/JsonReader.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <limits>

namespace magnoliamill::settings {
namespace {

namespace json = boost::json;
using base::ResultCode;
using internal::Faults;
using internal::ObjectReader;
using internal::Presence;

constexpr std::size_t MaxOutcomeDepth = 8;
constexpr std::size_t MaxDecodedFaults = 10000;
constexpr internal::IntegerRange AnyNumber{
    0, std::numeric_limits<std::int64_t>::max()};
constexpr internal::IntegerRange CodeRange{0, 65535};

json::object writeFault(const Fault &fault) {
  return {{"code", base::numberOf(fault.Code)},
          {"name", base::nameOf(fault.Code)},
          {"path", fault.Path},
          {"message", fault.Message}};
}

json::array writeFaults(const std::vector<Fault> &faults) {
  json::array out;
  for (const auto &fault : faults)
    out.push_back(writeFault(fault));
  return out;
}

std::uint64_t readNumber(ObjectReader &in, std::string_view field) {
  return static_cast<std::uint64_t>(
      in.readInteger(field, Presence::Required, AnyNumber).value_or(0));
}

ResultCode readCode(ObjectReader &in) {
  return static_cast<ResultCode>(
      in.readInteger("code", Presence::Required, CodeRange).value_or(0));
}

Fault readFault(const json::value &value, Faults &faults) {
  ObjectReader in(value, "/faults", faults);
  return {readCode(in), in.readString("path", Presence::Required).value_or(""),
          in.readString("message", Presence::Required).value_or("")};
}

} // namespace

std::string encodeOutcome(const ChangeOutcome &outcome) {
  return json::serialize(json::object{{"code", base::numberOf(outcome.Code)},
                                      {"message", outcome.Message},
                                      {"path", outcome.Path},
                                      {"version", outcome.Version},
                                      {"index", outcome.Index},
                                      {"change_id", outcome.ChangeId},
                                      {"faults", writeFaults(outcome.Faults)}});
}

base::Result<ChangeOutcome> decodeOutcome(std::string_view text) {
  Faults faults;
  auto value = internal::parseJson(text, MaxOutcomeDepth, faults);
  if (!value)
    return base::fail(ResultCode::JsonMalformed, joinFaults(faults));
  ObjectReader in(*value, "", faults);
  ChangeOutcome outcome;
  outcome.Code = readCode(in);
  outcome.Message = in.readString("message", Presence::Required).value_or("");
  outcome.Path = in.readString("path", Presence::Required).value_or("");
  outcome.Version = readNumber(in, "version");
  outcome.Index = readNumber(in, "index");
  outcome.ChangeId =
      in.readString("change_id", Presence::Required).value_or("");
  if (const auto *items =
          in.readArray("faults", Presence::Required, MaxDecodedFaults))
    for (const auto &item : *items)
      outcome.Faults.push_back(readFault(item, faults));
  if (!faults.empty())
    return base::fail(ResultCode::ValueInvalid, joinFaults(faults));
  return outcome;
}

std::string renderOutcome(const ChangeOutcome &outcome) {
  if (outcome.accepted())
    return json::serialize(json::object{{"path", outcome.Path},
                                        {"version", outcome.Version},
                                        {"index", outcome.Index},
                                        {"change_id", outcome.ChangeId}});
  json::object out{{"code", base::numberOf(outcome.Code)},
                   {"name", base::nameOf(outcome.Code)},
                   {"message", outcome.Message},
                   {"path", outcome.Path},
                   {"current_version", outcome.Version},
                   {"index", outcome.Index},
                   {"change_id", outcome.ChangeId}};
  if (!outcome.Faults.empty())
    out["faults"] = writeFaults(outcome.Faults);
  return json::serialize(out);
}

} // namespace magnoliamill::settings

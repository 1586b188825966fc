// JSON of slots with their tokens, shared by reports and commands.
#pragma once

#include "base/JsonReader.h"
#include "ownership/Commands.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <vector>

namespace magnoliamill::ownership::internal {

boost::json::object encodeSlot(const SlotExpectation &slot);
SlotExpectation readSlot(base::JsonReader &reader);

boost::json::array encodeSlots(const std::vector<SlotExpectation> &slots);
/// Reads the array field \p name.
std::vector<SlotExpectation> readSlots(base::JsonReader &reader,
                                       std::string_view name);

} // namespace magnoliamill::ownership::internal

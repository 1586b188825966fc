// JSON of slots with their tokens.
#include "ownership/internal/SlotCodec.h"

namespace magnoliamill::ownership::internal {

namespace {
// Limits what a corrupt command can make the state machine allocate.
constexpr base::SlotNumber MaxSlotNumber = 65535;
} // namespace

boost::json::object encodeSlot(const SlotExpectation &slot) {
  return {{"service", slot.Slot.Service.Value},
          {"slot", slot.Slot.Slot},
          {"token", base::formatToken(slot.ExpectedToken)}};
}

SlotExpectation readSlot(base::JsonReader &reader) {
  SlotExpectation it;
  it.Slot.Service = base::ServiceId(reader.text("service"));
  it.Slot.Slot =
      static_cast<base::SlotNumber>(reader.number("slot", MaxSlotNumber));
  it.ExpectedToken = reader.token("token");
  return it;
}

boost::json::array encodeSlots(const std::vector<SlotExpectation> &slots) {
  boost::json::array list;
  for (const auto &slot : slots)
    list.push_back(encodeSlot(slot));
  return list;
}

std::vector<SlotExpectation> readSlots(base::JsonReader &reader,
                                       std::string_view name) {
  std::vector<SlotExpectation> slots;
  for (const auto &element : reader.list(name)) {
    base::JsonReader slot(element);
    slots.push_back(readSlot(slot));
    reader.mergeError(slot.error());
  }
  return slots;
}

} // namespace magnoliamill::ownership::internal

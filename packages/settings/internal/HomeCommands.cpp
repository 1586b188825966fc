// Applies the commands that assign and move the homes of slots. A changed home
// gets the log index as its new epoch.
#include "settings/internal/ApplyCommands.h"

#include <algorithm>
#include <fmt/format.h>

namespace magnoliamill::settings::internal {
namespace {

using base::ResultCode;

bool isGone(const View &view, const base::DataCentreId &centre) {
  auto it = view.DataCentreRules.find(centre);
  return it != view.DataCentreRules.end() && it->second.Gone;
}

bool mayBeHome(const View &view, const base::ServiceId &service,
               const base::DataCentreId &centre) {
  auto it = view.Services.find(service);
  return it != view.Services.end() && !isGone(view, centre) &&
         std::ranges::find(it->second.DataCentres, centre) !=
             it->second.DataCentres.end();
}

/// The home of \p slot, or null when it does not exist or its epoch is not
/// \p epoch.
SlotHome *findHome(View &view, const base::SlotId &slot, std::uint64_t epoch) {
  auto it = view.Homes.find(slot.Service);
  if (it == view.Homes.end() || slot.Slot >= it->second.size())
    return nullptr;
  auto &home = it->second[slot.Slot];
  return home.Epoch == epoch ? &home : nullptr;
}

ChangeOutcome refuseStale() {
  return refuse(ResultCode::VersionConflict,
                "the slot has another epoch or does not exist");
}

/// Records a change of homes in the view and the audit trail. The entry has the
/// service's path, so that its team can see it.
ChangeOutcome recordHomeChange(ApplyContext context, std::string_view action,
                               std::int64_t when,
                               const base::ServiceId &service,
                               std::string value) {
  auto &state = context.State;
  state.markChanged(context.Index);
  AuditEntry entry;
  entry.Index = context.Index;
  entry.WhenMs = when;
  entry.Who = "system";
  entry.Action = action;
  entry.Path =
      fmt::format("/teams/{}/services/{}",
                  state.Current.Services.at(service).Team, service.Value);
  entry.NewValue = std::move(value);
  state.auditSystem(std::move(entry));
  return {};
}

std::string describeSlot(const base::SlotId &slot, const SlotHome &home) {
  return fmt::format(R"({{"slot":{},"home":"{}","epoch":{},"moving_to":"{}"}})",
                     slot.Slot, home.Home.Value, home.Epoch,
                     home.MovingTo ? home.MovingTo->Value : "");
}

} // namespace

ChangeOutcome applyCommand(ApplyContext context, const AssignHomes &assign) {
  auto &view = context.State.Current;
  auto it = view.Services.find(assign.Service);
  if (it == view.Services.end() || !it->second.Keyed)
    return refuse(ResultCode::UnknownService, "no such keyed service");
  if (view.Homes.contains(assign.Service))
    return refuse(ResultCode::VersionConflict, "the slots have homes already");
  bool valid = assign.Homes.size() == it->second.Slots &&
               std::ranges::all_of(assign.Homes, [&](const auto &home) {
                 return mayBeHome(view, assign.Service, home);
               });
  if (!valid)
    return refuse(ResultCode::ValueInvalid,
                  "the homes do not fit the service as it is now");
  auto &homes = view.Homes[assign.Service];
  for (const auto &home : assign.Homes)
    homes.push_back({home, context.Index, std::nullopt});
  return recordHomeChange(context, "assign_homes", assign.WhenMs,
                          assign.Service,
                          fmt::format(R"({{"slots":{}}})", homes.size()));
}

ChangeOutcome applyCommand(ApplyContext context, const BeginHomeMove &move) {
  auto &view = context.State.Current;
  auto *home = findHome(view, move.Slot, move.Epoch);
  if (!home)
    return refuseStale();
  if (home->Home == move.To || home->MovingTo == move.To)
    return {};
  if (!mayBeHome(view, move.Slot.Service, move.To))
    return refuse(ResultCode::ValueInvalid,
                  "the service does not use that data centre");
  home->MovingTo = move.To;
  return recordHomeChange(context, "begin_home_move", move.WhenMs,
                          move.Slot.Service, describeSlot(move.Slot, *home));
}

ChangeOutcome applyCommand(ApplyContext context, const CancelHomeMove &move) {
  auto *home = findHome(context.State.Current, move.Slot, move.Epoch);
  if (!home)
    return refuseStale();
  if (!home->MovingTo)
    return {};
  // The old home may already have released the slot and sent its confirmation.
  // The new epoch makes that confirmation stale, so that it cannot complete a
  // later move.
  *home = {home->Home, context.Index, std::nullopt};
  return recordHomeChange(context, "cancel_home_move", move.WhenMs,
                          move.Slot.Service, describeSlot(move.Slot, *home));
}

ChangeOutcome applyCommand(ApplyContext context, const FinishHomeMove &move) {
  auto *home = findHome(context.State.Current, move.Slot, move.Epoch);
  if (!home || home->Home != move.From)
    return refuseStale();
  if (!home->MovingTo)
    return refuse(ResultCode::VersionConflict, "the slot is not moving");
  *home = {*home->MovingTo, context.Index, std::nullopt};
  return recordHomeChange(context, "finish_home_move", move.WhenMs,
                          move.Slot.Service, describeSlot(move.Slot, *home));
}

ChangeOutcome applyCommand(ApplyContext context, const ReclaimHome &move) {
  auto &view = context.State.Current;
  auto *home = findHome(view, move.Slot, move.Epoch);
  if (!home)
    return refuseStale();
  if (!isGone(view, home->Home))
    return refuse(ResultCode::HomeNotReleased,
                  "the home is not declared gone: it has to release the slot");
  if (!mayBeHome(view, move.Slot.Service, move.To))
    return refuse(ResultCode::ValueInvalid,
                  "the service does not use that data centre");
  *home = {move.To, context.Index, std::nullopt};
  return recordHomeChange(context, "reclaim_home", move.WhenMs,
                          move.Slot.Service, describeSlot(move.Slot, *home));
}

} // namespace magnoliamill::settings::internal

// Applies log entries to the view and shares immutable copies of it.
#include "ownership/StateMachine.h"

#include "ownership/internal/CommandApplier.h"
#include "ownership/internal/ViewCodec.h"

namespace magnoliamill::ownership {

using base::ResultCode;

StateMachine::StateMachine(std::uint64_t epoch) { CurrentView.Epoch = epoch; }

std::string StateMachine::apply(consensus::LogIndex index,
                                std::string_view command) {
  auto parsed = parseCommand(command);
  if (!parsed)
    return encodeOutcome({ResultCode::BadRequest, 0});
  const auto outcome =
      internal::CommandApplier(CurrentView, index).apply(parsed.value());
  if (outcome.Changed > 0)
    CachedView.reset();
  return encodeOutcome(outcome);
}

std::string StateMachine::snapshot() const {
  return internal::encodeView(CurrentView);
}

base::Result<void> StateMachine::restore(std::string_view data) {
  auto view = internal::parseView(data);
  if (!view)
    return base::fail(ResultCode::SnapshotDamaged, view.error().Message);
  CurrentView = std::move(view).value();
  CachedView.reset();
  return base::ok();
}

ViewPtr StateMachine::viewNow() const {
  if (!CachedView)
    CachedView = std::make_shared<const View>(CurrentView);
  return CachedView;
}

} // namespace magnoliamill::ownership

// The replicated state machine: commands in, shared views out.
#include "ownership/StateMachine.h"

#include "ownership/internal/CommandApplier.h"
#include "ownership/internal/ViewCodec.h"

namespace magnoliamill::ownership {

using base::ResultCode;

StateMachine::StateMachine(std::uint64_t epoch) { Present.Epoch = epoch; }

std::string StateMachine::apply(consensus::LogIndex index,
                                std::string_view command) {
  auto parsed = parseCommand(command);
  if (!parsed)
    return encodeOutcome({ResultCode::BadRequest, 0});
  const auto outcome =
      internal::CommandApplier(Present, index).apply(parsed.value());
  if (outcome.Changed > 0)
    Shared.reset();
  return encodeOutcome(outcome);
}

std::string StateMachine::snapshot() const {
  return internal::encodeView(Present);
}

base::Result<void> StateMachine::restore(std::string_view data) {
  auto view = internal::parseView(data);
  if (!view)
    return base::fail(ResultCode::SnapshotDamaged, view.error().Message);
  Present = std::move(view).value();
  Shared.reset();
  return base::ok();
}

ViewPtr StateMachine::viewNow() const {
  if (!Shared)
    Shared = std::make_shared<const View>(Present);
  return Shared;
}

} // namespace magnoliamill::ownership

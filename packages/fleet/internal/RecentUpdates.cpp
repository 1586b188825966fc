// Bounds the updates by their number and by their size.
#include "fleet/RecentUpdates.h"

namespace magnoliamill::fleet {
namespace {

std::size_t countParts(const ViewUpdate &update) {
  std::size_t parts = update.Items.Routes.size() +
                      update.Items.Services.size() + update.Targets.size() +
                      update.GoneTargets.size() + update.Cores.size();
  for (const auto &holders : update.Holders)
    parts += holders.Changes.size();
  return parts;
}

} // namespace

void RecentUpdates::add(ViewUpdate update, EncodedFrame encoded,
                        base::MonoTime now) {
  Newest = update.Version;
  if (update.IsWhole) {
    Updates.clear();
    Parts = 0;
    return;
  }
  const std::size_t parts = countParts(update);
  Parts += parts;
  Updates.push_back({std::move(update), parts, std::move(encoded), now});
  while (Updates.size() > MaxUpdates || Parts > MaxParts) {
    Parts -= Updates.front().Parts;
    Updates.pop_front();
  }
}

std::optional<std::vector<EncodedFrame>>
RecentUpdates::listAfter(const ViewVersion &known, base::MonoTime now,
                         base::Duration MaxAge) {
  if (known.Term != Newest.Term || known.Number > Newest.Number ||
      Newest.Number - known.Number > Updates.size())
    return std::nullopt;
  std::vector<EncodedFrame> frames;
  for (auto n = Newest.Number - known.Number; n > 0; --n) {
    Kept &kept = Updates[Updates.size() - n];
    if (now - kept.EncodedAt >= MaxAge) {
      kept.Encoded = encodeShared(kept.Update);
      kept.EncodedAt = now;
    }
    frames.push_back(kept.Encoded);
  }
  return frames;
}

} // namespace magnoliamill::fleet

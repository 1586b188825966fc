// The last updates of a core's view, for subscribers that come from another
// core and have missed only these. Performs no I/O.
#pragma once

#include "base/Time.h"
#include "fleet/Link.h"
#include "fleet/View.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace magnoliamill::fleet {

class RecentUpdates {
public:
  /// Keeps \p update, which was applied to the view at \p now. \p encoded is
  /// its frame.
  void add(ViewUpdate update, EncodedFrame encoded, base::MonoTime now);
  /// The updates that lead from \p known to the current view, in their order;
  /// none if they are not all kept. A frame is encoded anew when it is older
  /// than \p MaxAge, because updates contain times that are left.
  std::optional<std::vector<EncodedFrame>> listAfter(const ViewVersion &known,
                                                     base::MonoTime now,
                                                     base::Duration MaxAge);

  static constexpr std::size_t MaxUpdates = 128;
  /// Items, targets and holders in all updates together.
  static constexpr std::size_t MaxParts = 16384;

private:
  struct Kept {
    ViewUpdate Update;
    std::size_t Parts = 0;
    EncodedFrame Encoded;
    base::MonoTime EncodedAt;
  };

  /// Version of the current view.
  ViewVersion Newest;
  // Invariant: consecutive numbers of the same term, up to Newest.
  std::deque<Kept> Updates;
  /// The sum over Updates.
  std::size_t Parts = 0;
};

} // namespace magnoliamill::fleet

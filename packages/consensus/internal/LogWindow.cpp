// Adds committed entries to the window and reads them by index.
#include "consensus/LogWindow.h"

namespace magnoliamill::consensus {

void LogWindow::restart(LogIndex index) {
  Kept.clear();
  Bytes = 0;
  Last = index;
}

void LogWindow::add(std::span<const Entry> committed) {
  for (const Entry &entry : committed) {
    if (entry.Index <= Last)
      continue;
    if (entry.Index != Last + 1)
      restart(entry.Index - 1);
    Bytes += entry.Command.size();
    Kept.push_back(entry);
    Last = entry.Index;
  }
  while (Kept.size() > 1 && Bytes > MaxBytes) {
    Bytes -= Kept.front().Command.size();
    Kept.pop_front();
  }
}

LogWindow::Slice LogWindow::readAfter(LogIndex after, std::size_t limit) const {
  Slice out;
  out.Commit = Last;
  out.NeedsSnapshot = after < baseIndex();
  if (out.NeedsSnapshot || after >= Last)
    return out;
  std::size_t bytes = 0;
  for (std::size_t n = after - baseIndex(); n < Kept.size(); ++n) {
    bytes += Kept[n].Command.size();
    if (!out.Entries.empty() && bytes > limit)
      break;
    out.Entries.push_back(Kept[n]);
  }
  return out;
}

} // namespace magnoliamill::consensus

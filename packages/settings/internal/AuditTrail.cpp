// Limits, queries and JSON form of the audit trail.
#include "settings/internal/AuditTrail.h"

#include "settings/SettingsPath.h"
#include "settings/internal/JsonConversions.h"

#include <algorithm>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace magnoliamill::settings {
namespace internal {
namespace {

/// Estimated size of an entry without its texts, in bytes.
constexpr std::size_t EntryOverhead = 256;

std::size_t sizeOf(const AuditEntry &entry) {
  return EntryOverhead + entry.Who.size() + entry.Path.size() +
         entry.OldValue.size() + entry.NewValue.size() + entry.ChangeId.size() +
         entry.Message.size();
}

void collect(const BoundedAuditLog &log, const AuditQuery &query,
             std::vector<AuditEntry> &out) {
  const auto &entries = log.entries();
  auto it =
      std::ranges::upper_bound(entries, query.After, {}, &AuditEntry::Index);
  std::size_t taken = 0;
  for (; it != entries.end() && taken < query.Limit; ++it) {
    if (!isAtOrBelow(it->Path, query.Prefix))
      continue;
    out.push_back(*it);
    ++taken;
  }
}

} // namespace

void BoundedAuditLog::add(AuditEntry entry, std::size_t entries,
                          std::size_t bytes) {
  Bytes += sizeOf(entry);
  Entries.push_back(std::move(entry));
  while (Entries.size() > entries || (Bytes > bytes && Entries.size() > 1)) {
    Bytes -= sizeOf(Entries.front());
    DroppedUpTo = Entries.front().Index;
    Entries.pop_front();
  }
}

std::vector<AuditEntry> AuditTrail::query(const AuditQuery &query) const {
  std::vector<AuditEntry> found;
  collect(Operators, query, found);
  collect(System, query, found);
  std::ranges::stable_sort(found, {}, &AuditEntry::Index);
  if (found.size() > query.Limit)
    found.resize(query.Limit);
  return found;
}

} // namespace internal

std::string renderAuditEntry(const AuditEntry &entry) {
  std::chrono::sys_seconds when(std::chrono::seconds(entry.WhenMs / 1000));
  return boost::json::serialize(
      boost::json::object{{"index", entry.Index},
                          {"when_ms", entry.WhenMs},
                          {"when", fmt::format("{:%FT%TZ}", when)},
                          {"who", entry.Who},
                          {"action", entry.Action},
                          {"path", entry.Path},
                          {"old", internal::embedJson(entry.OldValue)},
                          {"new", internal::embedJson(entry.NewValue)},
                          {"change_id", entry.ChangeId},
                          {"code", base::numberOf(entry.Code)},
                          {"name", base::nameOf(entry.Code)},
                          {"message", entry.Message}});
}

} // namespace magnoliamill::settings

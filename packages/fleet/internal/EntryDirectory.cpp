// Lists entries by rendezvous hashing.
#include "fleet/EntryDirectory.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace magnoliamill::fleet {

void EntryDirectory::put(LinkKey link, VmAddress entry) {
  ByLink[link] = std::move(entry);
}

const VmAddress *EntryDirectory::find(LinkKey link) const {
  auto it = ByLink.find(link);
  return it == ByLink.end() ? nullptr : &it->second;
}

std::vector<VmAddress>
EntryDirectory::listOthers(const VmAddress &asker) const {
  std::vector<VmAddress> entries;
  for (const auto &[link, entry] : ByLink)
    if (entry.Host != asker.Host)
      entries.push_back(entry);
  std::ranges::sort(entries);
  entries.erase(std::unique(entries.begin(), entries.end()), entries.end());
  const auto seed = base::hash64(asker.Host, 0);
  std::ranges::sort(entries, {}, [seed](const VmAddress &entry) {
    return base::hash64(entry.Host, seed);
  });
  const auto others = std::stable_partition(
      entries.begin(), entries.end(), [&](const VmAddress &entry) {
        return entry.DataCentre == asker.DataCentre;
      });
  const auto near = static_cast<std::size_t>(others - entries.begin());
  const auto far = entries.size() - near;
  const auto listed = std::min(
      near, std::max(MaxListedNear, MaxListed - std::min(far, MaxListed)));
  entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(listed), others);
  entries.resize(std::min(entries.size(), MaxListed));
  return entries;
}

} // namespace magnoliamill::fleet

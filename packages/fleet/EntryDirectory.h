// The entries that are linked to a core, of which it sends each entry a few
// others. Performs no I/O.
#pragma once

#include "fleet/View.h"

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

namespace magnoliamill::fleet {

class EntryDirectory {
public:
  /// Identifies a link; an entry may have several.
  using LinkKey = const void *;

  void put(LinkKey link, VmAddress entry);
  void remove(LinkKey link) { ByLink.erase(link); }

  /// The entry that opened \p link; null if it is not an entry's.
  const VmAddress *find(LinkKey link) const;
  /// Other entries than \p asker, at most MaxListed: some of its own data
  /// centre, the rest of others. An entry gets the same ones each time as long
  /// as they are linked, and each entry is listed to about as many.
  std::vector<VmAddress> listOthers(const VmAddress &asker) const;

  static constexpr std::size_t MaxListed = 8;
  /// More of the own data centre are listed only if there are few others: the
  /// VMs of a data centre may lose the same paths.
  static constexpr std::size_t MaxListedNear = 3;

private:
  std::map<LinkKey, VmAddress> ByLink;
};

} // namespace magnoliamill::fleet

// One fault found by a check of a JSON document.
#pragma once

#include "base/ResultCode.h"

#include <span>
#include <string>
#include <vector>

namespace magnoliamill::settings {

/// Checks report all faults of a document, not only the first.
struct Fault {
  base::ResultCode Code = base::ResultCode::ValueInvalid;
  /// Where in the document, for example "/routes/0/prefix"; "" is the whole
  /// document.
  std::string Path;
  /// What is wrong and what would be right.
  std::string Message;
  bool operator==(const Fault &) const = default;
};

/// The faults on one line: "/slots: must be 1 to 65536; /keyd: unknown field".
std::string joinFaults(std::span<const Fault> faults);

} // namespace magnoliamill::settings

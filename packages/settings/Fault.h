// A validation error in a JSON document.
#pragma once

#include "base/ResultCode.h"

#include <span>
#include <string>
#include <vector>

namespace magnoliamill::settings {

/// A validation error. Checks report all of them, not only the first.
struct Fault {
  base::ResultCode Code = base::ResultCode::ValueInvalid;
  /// JSON pointer to the value, for example "/routes/0/prefix"; "" is the whole
  /// document.
  std::string Path;
  /// What is wrong and what is allowed.
  std::string Message;
  bool operator==(const Fault &) const = default;
};

/// The faults on one line: "/slots: must be 1 to 65536; /keyd: unknown field".
std::string joinFaults(std::span<const Fault> faults);

} // namespace magnoliamill::settings

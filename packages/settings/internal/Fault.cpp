// Formats validation errors as one line of text.
#include "settings/Fault.h"

#include <fmt/format.h>

namespace magnoliamill::settings {

std::string joinFaults(std::span<const Fault> faults) {
  std::string line;
  for (const auto &fault : faults) {
    if (!line.empty())
      line += "; ";
    line += fault.Path.empty()
                ? fault.Message
                : fmt::format("{}: {}", fault.Path, fault.Message);
  }
  return line;
}

} // namespace magnoliamill::settings

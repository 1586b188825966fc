// Maps each result code to its HTTP status, the same for all components.
#pragma once

#include "base/ResultCode.h"

#include <cstdint>

namespace magnoliamill::base {

std::uint16_t httpStatusOf(ResultCode code);

} // namespace magnoliamill::base

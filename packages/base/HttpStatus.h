// The one HTTP status of each result code, whoever refuses with it.
#pragma once

#include "base/ResultCode.h"

#include <cstdint>

namespace magnoliamill::base {

std::uint16_t httpStatusOf(ResultCode code);

} // namespace magnoliamill::base

// JSON of a whole view, used as the snapshot of the state machine.
#pragma once

#include "base/Result.h"
#include "ownership/View.h"

#include <string>
#include <string_view>

namespace magnoliamill::ownership::internal {

std::string encodeView(const View &view);
base::Result<View> parseView(std::string_view text);

} // namespace magnoliamill::ownership::internal

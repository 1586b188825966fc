// Encodes a membership as JSON. This form is stored in the Command of entries
// of kind Membership and in the snapshot file.
#pragma once

#include "base/Result.h"
#include "consensus/Types.h"

#include <string>
#include <string_view>

namespace magnoliamill::consensus {

std::string encodeMembership(const Membership &membership);

/// Fails with JsonMalformed or WrongType when \p text is not a membership.
base::Result<Membership> decodeMembership(std::string_view text);

} // namespace magnoliamill::consensus

// The stored form of a membership: the Command of an entry of the kind
// Membership, and a part of the snapshot file. JSON.
#pragma once

#include "base/Result.h"
#include "consensus/Types.h"

#include <string>
#include <string_view>

namespace magnoliamill::consensus {

std::string encodeMembership(const Membership &membership);

/// JsonMalformed or WrongType when \p text is not a membership.
base::Result<Membership> decodeMembership(std::string_view text);

} // namespace magnoliamill::consensus

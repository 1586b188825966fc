// Checks a request against the settings in force and extracts what routing and
// dispatch decide on.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "dispatch/RequestInfo.h"
#include "protocol/Messages.h"
#include "settings/View.h"

namespace magnoliamill::node {

/// Fills in the service's default deadline when the request names none. Errors:
/// UnknownService, MissingKey, UnknownClientAccount.
base::Result<dispatch::RequestInfo>
describeRequest(const settings::View &settings,
                protocol::ForwardRequest &request, base::MonoTime now);

} // namespace magnoliamill::node

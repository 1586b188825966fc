// Headers between two entries of which one relays a request to the other.
#pragma once

#include <string_view>

namespace magnoliamill::entry::internal {

/// On a relayed request: the number of targets to which it may be sent.
constexpr std::string_view AttemptsLeftHeader = "Mill-Attempts-Left";
/// On a relayed request: version and name of the route that it takes. Entries
/// get changes of the configuration at slightly different times.
constexpr std::string_view RouteHeader = "Mill-Route";
/// On a relayed request while data centres are evacuated: term and number of
/// the first view that has these evacuations.
constexpr std::string_view EvacuationHeader = "Mill-Evacuation-View";
/// On its answer: the id and the start time of the target that gave it.
constexpr std::string_view AnsweringTargetHeader = "Mill-Answering-Target";

} // namespace magnoliamill::entry::internal

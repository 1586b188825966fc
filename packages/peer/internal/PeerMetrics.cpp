// Defines the names and help texts of the metrics of the peer links.
#include "peer/internal/PeerMetrics.h"

#include "base/Metrics.h"

namespace magnoliamill::peer::internal {

PeerMetrics &metrics() {
  using base::counter;
  using base::gauge;
  static PeerMetrics Metrics{
      gauge("mill_peer_links_alive", "Links to peers that are up."),
      gauge("mill_peer_connections_accepted", "Connections from peers."),
      gauge("mill_peer_answer_bytes_buffered",
            "Bytes of answers that wait for the asking peer."),
      counter("mill_peer_calls_total", "Calls sent to peers."),
      counter("mill_peer_calls_served_total", "Calls taken from peers."),
      counter("mill_peer_timeouts_total", "Calls not answered in time."),
      counter("mill_peer_calls_lost_total", "Calls lost with their link."),
      counter("mill_peer_queue_refusals_total",
              "Calls refused because the peer's queue was full."),
      counter("mill_peer_ring_refusals_total",
              "Calls refused because the ring was full."),
      counter("mill_peer_group_messages_total", "Group messages sent."),
      counter("mill_peer_group_messages_dropped_total",
              "Group messages dropped before they were sent."),
      counter("mill_peer_links_lost_total", "Links closed after they were up."),
      counter("mill_peer_malformed_total", "Links closed for bad input."),
      counter("mill_peer_refused_connections_total",
              "Connections from hosts that are not allowed.")};
  return Metrics;
}

} // namespace magnoliamill::peer::internal

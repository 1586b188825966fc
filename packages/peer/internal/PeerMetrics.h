// Provides the metrics of the peer links.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace magnoliamill::peer::internal {

struct PeerMetrics {
  prometheus::Gauge &LinksAlive;
  prometheus::Gauge &ConnectionsAccepted;
  /// Bytes of answers that the requesting peers have not read yet.
  prometheus::Gauge &AnswerBytesBuffered;
  prometheus::Counter &Calls;
  prometheus::Counter &CallsServed;
  prometheus::Counter &Timeouts;
  prometheus::Counter &CallsLost;
  prometheus::Counter &QueueRefusals;
  prometheus::Counter &RingRefusals;
  prometheus::Counter &MessagesSent;
  prometheus::Counter &MessagesDropped;
  prometheus::Counter &LinksLost;
  prometheus::Counter &MalformedLinks;
  prometheus::Counter &RefusedConnections;
};

/// The metrics of this process, registered on the first call.
PeerMetrics &metrics();

} // namespace magnoliamill::peer::internal

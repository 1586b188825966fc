// The numbers of the peer links, registered once.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace magnoliamill::peer::internal {

struct PeerMetrics {
  prometheus::Gauge &LinksAlive;
  prometheus::Gauge &ConnectionsAccepted;
  /// Bytes of answers that wait for the peer who asked to pull them.
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

PeerMetrics &metrics();

} // namespace magnoliamill::peer::internal

// Prometheus metrics: counters, gauges and histograms that are registered on
// first use and rendered for /metrics.
#pragma once

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace magnoliamill::base {

using MetricLabels = std::map<std::string, std::string>;

/// Safe from any thread. References stay valid until the process ends; hot
/// paths keep them to avoid the lookup.
prometheus::Counter &counter(std::string_view name, std::string_view help,
                             const MetricLabels &labels = {});
prometheus::Gauge &gauge(std::string_view name, std::string_view help,
                         const MetricLabels &labels = {});
/// \p bounds are the upper bounds of the buckets, in the unit that the metric's
/// name states.
prometheus::Histogram &histogram(std::string_view name, std::string_view help,
                                 const std::vector<double> &bounds,
                                 const MetricLabels &labels = {});

/// All metrics in the Prometheus text exposition format.
std::string renderMetrics();

} // namespace magnoliamill::base

// One Prometheus registry per process; metric families are looked up by name.
#include "base/Metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace magnoliamill::base {
namespace {

struct MetricStore {
  std::mutex Mutex;
  prometheus::Registry Registry;
  std::map<std::string, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram> *> Histograms;
};

MetricStore &store() {
  static MetricStore Store;
  return Store;
}

template <typename Families, typename Builder>
auto &findFamily(Families &families, Builder builder, std::string_view name,
                 std::string_view help) {
  auto &slot = families[std::string(name)];
  if (!slot)
    slot = &builder.Name(std::string(name))
                .Help(std::string(help))
                .Register(store().Registry);
  return *slot;
}

} // namespace

prometheus::Counter &counter(std::string_view name, std::string_view help,
                             const MetricLabels &labels) {
  std::lock_guard lock(store().Mutex);
  return findFamily(store().Counters, prometheus::BuildCounter(), name, help)
      .Add(labels);
}

prometheus::Gauge &gauge(std::string_view name, std::string_view help,
                         const MetricLabels &labels) {
  std::lock_guard lock(store().Mutex);
  return findFamily(store().Gauges, prometheus::BuildGauge(), name, help)
      .Add(labels);
}

prometheus::Histogram &histogram(std::string_view name, std::string_view help,
                                 const std::vector<double> &bounds,
                                 const MetricLabels &labels) {
  std::lock_guard lock(store().Mutex);
  return findFamily(store().Histograms, prometheus::BuildHistogram(), name,
                    help)
      .Add(labels, bounds);
}

std::string renderMetrics() {
  return prometheus::TextSerializer().Serialize(store().Registry.Collect());
}

} // namespace magnoliamill::base

// Test fixture: an entry's subscription to the view.
#pragma once

#include "entry/ViewSubscription.h"
#include "gateway/tests/Support.h"

#include <atomic>
#include <memory>
#include <span>
#include <string>

namespace magnoliamill::entry::tests {

class SubscribedEntry {
public:
  /// The cores accept links at \p port of \p hosts.
  SubscribedEntry(std::span<const char *const> hosts, std::uint16_t port) {
    Settings.Vm = "f1";
    Settings.DataCentre = "dc-a";
    Settings.LinkPort = port;
    for (const auto *host : hosts)
      Settings.Seeds.push_back({host, 1});
    EventLoop.run([this] {
      ViewSubscriptionHooks hooks;
      hooks.OnView = [this] { Number = Subscription->view().version().Number; };
      hooks.OnCrashes = [](const auto &) {};
      hooks.OnEntries = [](const auto &) {};
      hooks.DescribeCrashes = [] { return dispatch::CrashReport{}; };
      Subscription = std::make_unique<ViewSubscription>(
          EventLoop.EventLoop, Settings, std::move(hooks));
      Subscription->start();
    });
  }
  ~SubscribedEntry() {
    EventLoop.run([this] { Subscription.reset(); });
  }

  /// The number of the entry's view; 0 before the first.
  std::uint64_t viewNumber() const { return Number; }

  bool acceptsStripeLoads() {
    bool accepts = false;
    EventLoop.run([&] { accepts = Subscription->acceptsStripeLoads(); });
    return accepts;
  }

private:
  gateway::tests::ScopedEventLoop EventLoop;
  fleet::FleetSettings Settings;
  std::atomic<std::uint64_t> Number{0};
  std::unique_ptr<ViewSubscription> Subscription;
};

} // namespace magnoliamill::entry::tests

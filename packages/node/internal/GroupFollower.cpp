// Fetches from one source at a time by long polling.
#include "node/GroupFollower.h"

#include "base/Time.h"

namespace magnoliamill::node {
namespace {

constexpr std::uint32_t FetchWaitMs = 1000;
constexpr base::Duration RetryDelay = std::chrono::milliseconds(100);

} // namespace

GroupFollower::GroupFollower(base::EventLoopThread &eventloop,
                             protocol::GroupKind group, base::VmId self,
                             GroupFollowerHooks hooks)
    : EventLoop(eventloop), Group(group), Self(std::move(self)),
      Hooks(std::move(hooks)), Timer(eventloop.context()) {}

GroupFollower::~GroupFollower() { *Alive = false; }

void GroupFollower::start() { fetch(); }

void GroupFollower::fetch() {
  auto sources = Hooks.Sources();
  if (sources.empty()) {
    fetchLater();
    return;
  }
  protocol::FetchRequest request;
  request.Group = Group;
  request.After = Applied;
  request.WaitMs = FetchWaitMs;
  request.Vm = Self;
  request.InForce = Applied;
  Hooks.Fetch(sources[SourceIndex % sources.size()], std::move(request),
              [this, alive = Alive](base::Result<protocol::FetchReply> reply) {
                EventLoop.postReply([this, alive, reply = std::move(reply)] {
                  if (*alive)
                    onReply(reply);
                });
              });
}

void GroupFollower::onReply(base::Result<protocol::FetchReply> reply) {
  if (!reply) {
    ++SourceIndex;
    fetchLater();
    return;
  }
  const protocol::FetchReply &fetched = reply.value();
  if (fetched.Snapshot && fetched.SnapshotIndex > Applied) {
    Hooks.Restore(fetched.SnapshotIndex, *fetched.Snapshot);
    Applied = fetched.SnapshotIndex;
  }
  for (const auto &entry : fetched.Entries) {
    // Skips entries that were applied already or that follow a gap: they do not
    // answer the request for what follows Applied.
    if (entry.Index != Applied + 1)
      continue;
    Hooks.Apply(entry);
    Applied = entry.Index;
  }
  Hooks.AfterFetch(Applied >= fetched.Commit);
  fetch();
}

void GroupFollower::fetchLater() {
  Timer.expires_after(RetryDelay);
  Timer.async_wait([this, alive = Alive](const boost::system::error_code &ec) {
    if (!ec && *alive)
      fetch();
  });
}

} // namespace magnoliamill::node

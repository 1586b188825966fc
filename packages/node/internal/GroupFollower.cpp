// Long-poll loop over the sources.
#include "node/GroupFollower.h"

#include "base/Time.h"

namespace magnoliamill::node {
namespace {

constexpr std::uint32_t FetchWaitMs = 1000;
constexpr base::Duration RetryPause = std::chrono::milliseconds(100);

} // namespace

GroupFollower::GroupFollower(base::EventLoopThread &duty,
                             protocol::GroupKind group, base::VmId self,
                             GroupFollowerHooks hooks)
    : Duty(duty), Group(group), Self(std::move(self)), Hooks(std::move(hooks)),
      Timer(duty.context()) {}

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
  Hooks.Fetch(sources[Source % sources.size()], std::move(request),
              [this, alive = Alive](base::Result<protocol::FetchReply> reply) {
                Duty.postReply([this, alive, reply = std::move(reply)] {
                  if (*alive)
                    onReply(reply);
                });
              });
}

void GroupFollower::onReply(base::Result<protocol::FetchReply> reply) {
  if (!reply) {
    ++Source;
    fetchLater();
    return;
  }
  const protocol::FetchReply &got = reply.value();
  if (got.Snapshot && got.SnapshotIndex > Applied) {
    Hooks.Restore(got.SnapshotIndex, *got.Snapshot);
    Applied = got.SnapshotIndex;
  }
  for (const auto &entry : got.Entries) {
    // A gap or an old entry: the source answered another question.
    if (entry.Index != Applied + 1)
      continue;
    Hooks.Apply(entry);
    Applied = entry.Index;
  }
  Hooks.AfterFetch(Applied >= got.Commit);
  fetch();
}

void GroupFollower::fetchLater() {
  Timer.expires_after(RetryPause);
  Timer.async_wait([this, alive = Alive](const boost::system::error_code &ec) {
    if (!ec && *alive)
      fetch();
  });
}

} // namespace magnoliamill::node

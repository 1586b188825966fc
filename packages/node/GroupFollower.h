// Follows a replicated log of which this VM holds no replica: fetches committed
// entries from VMs that have them.
#pragma once

#include "base/EventLoopThread.h"
#include "base/Ids.h"
#include "consensus/Types.h"
#include "protocol/Messages.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace magnoliamill::node {

struct GroupFollowerHooks {
  std::function<void(const base::VmId &, protocol::FetchRequest,
                     protocol::Reply<protocol::FetchReply>)>
      Fetch;
  /// VMs to fetch from, preferred first; after a failed fetch the next one is
  /// tried.
  std::function<std::vector<base::VmId>()> Sources;
  std::function<void(consensus::LogIndex, const std::string &)> Restore;
  std::function<void(const consensus::Entry &)> Apply;
  /// Called after a reply was applied; true when this reached the commit index
  /// that the source knew.
  std::function<void(bool CaughtUp)> AfterFetch;
};

/// All methods run on the event loop's thread. Entries are applied in order and
/// once each; entries at or below the applied index are ignored.
class GroupFollower {
public:
  GroupFollower(base::EventLoopThread &eventloop, protocol::GroupKind group,
                base::VmId self, GroupFollowerHooks hooks);
  ~GroupFollower();
  GroupFollower(const GroupFollower &) = delete;
  GroupFollower &operator=(const GroupFollower &) = delete;

  void start();
  consensus::LogIndex appliedIndex() const { return Applied; }

private:
  void fetch();
  void onReply(base::Result<protocol::FetchReply> reply);
  void fetchLater();

  base::EventLoopThread &EventLoop;
  protocol::GroupKind Group;
  base::VmId Self;
  GroupFollowerHooks Hooks;
  boost::asio::steady_timer Timer;
  consensus::LogIndex Applied = 0;
  std::size_t SourceIndex = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace magnoliamill::node

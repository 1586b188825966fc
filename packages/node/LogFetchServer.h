// Answers VMs that pull a replicated log: at once when there is something new,
// otherwise when something comes or their time is over.
#pragma once

#include "base/Time.h"
#include "consensus/LogWindow.h"
#include "protocol/Messages.h"

#include <functional>
#include <vector>

namespace magnoliamill::node {

/// All methods on the state duty's thread.
class LogFetchServer {
public:
  using Read =
      std::function<protocol::FetchReply(const protocol::FetchRequest &)>;

  /// \p read gives what there is after the index asked for.
  explicit LogFetchServer(Read read) : ReadAfter(std::move(read)) {}

  void answer(protocol::FetchRequest request,
              protocol::Reply<protocol::FetchReply> reply);
  /// To be called when entries have come, and from time to time.
  void answerWaiting();
  /// The log has ended: all that wait get \p error.
  void failWaiting(const base::Error &error);

  /// A reply from \p window; \p snapshot is asked when the window no longer
  /// reaches back, and stands at \p applied.
  static protocol::FetchReply
  readWindow(const consensus::LogWindow &window,
             const protocol::FetchRequest &request, consensus::LogIndex applied,
             const std::function<std::string()> &snapshot);

private:
  struct WaitingFetch {
    protocol::FetchRequest Request;
    base::MonoTime Until;
    protocol::Reply<protocol::FetchReply> Reply;
  };

  Read ReadAfter;
  std::vector<WaitingFetch> Waiting;
};

} // namespace magnoliamill::node

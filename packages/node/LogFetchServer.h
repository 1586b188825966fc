// Answers the fetch requests (long polls) of VMs that follow a replicated log:
// at once when there are new entries, otherwise when entries arrive or the
// request's wait time ends.
#pragma once

#include "base/Time.h"
#include "consensus/LogWindow.h"
#include "protocol/Messages.h"

#include <functional>
#include <vector>

namespace magnoliamill::node {

/// All methods run on the state thread.
class LogFetchServer {
public:
  using Read =
      std::function<protocol::FetchReply(const protocol::FetchRequest &)>;

  /// \p read returns what follows the requested index.
  explicit LogFetchServer(Read read) : ReadAfter(std::move(read)) {}

  void answer(protocol::FetchRequest request,
              protocol::Reply<protocol::FetchReply> reply);
  /// To be called when entries were applied, and periodically for requests
  /// whose wait time has ended.
  void answerWaiting();
  /// Fails all waiting requests with \p error, because the log has ended.
  void failWaiting(const base::Error &error);

  /// Makes a reply from \p window. When the window no longer holds the entries
  /// after the requested index, the reply has a snapshot from \p snapshot,
  /// whose index is \p applied.
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

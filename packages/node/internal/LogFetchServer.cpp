// Long polling of a replicated log.
#include "node/LogFetchServer.h"

namespace magnoliamill::node {
namespace {

// Maximum size of the entries in one reply.
constexpr std::size_t FetchBytes = 1u << 20;

bool hasContent(const protocol::FetchReply &reply) {
  return reply.Snapshot.has_value() || !reply.Entries.empty();
}

} // namespace

protocol::FetchReply LogFetchServer::readWindow(
    const consensus::LogWindow &window, const protocol::FetchRequest &request,
    consensus::LogIndex applied, const std::function<std::string()> &snapshot) {
  auto part = window.readAfter(request.After, FetchBytes);
  protocol::FetchReply reply;
  reply.Commit = part.Commit;
  reply.Entries = std::move(part.Entries);
  if (part.NeedsSnapshot) {
    reply.Snapshot = snapshot();
    reply.SnapshotIndex = applied;
  }
  return reply;
}

void LogFetchServer::answer(protocol::FetchRequest request,
                            protocol::Reply<protocol::FetchReply> reply) {
  auto found = ReadAfter(request);
  if (hasContent(found) || request.WaitMs == 0) {
    reply(std::move(found));
    return;
  }
  auto until =
      base::readMonotonic() + std::chrono::milliseconds(request.WaitMs);
  Waiting.push_back({std::move(request), until, std::move(reply)});
}

void LogFetchServer::answerWaiting() {
  auto now = base::readMonotonic();
  std::vector<WaitingFetch> waiting;
  waiting.swap(Waiting);
  for (auto &fetch : waiting) {
    auto found = ReadAfter(fetch.Request);
    if (hasContent(found) || now >= fetch.Until)
      fetch.Reply(std::move(found));
    else
      Waiting.push_back(std::move(fetch));
  }
}

void LogFetchServer::failWaiting(const base::Error &error) {
  std::vector<WaitingFetch> waiting;
  waiting.swap(Waiting);
  for (auto &fetch : waiting)
    fetch.Reply(base::fail(error));
}

} // namespace magnoliamill::node

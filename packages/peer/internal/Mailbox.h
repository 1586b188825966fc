// Provides the task queues through which other threads reach the peer thread: a
// bounded ring for new work and a list for answers, both signalled by an
// eventfd.
#pragma once

#include "base/EventLoopThread.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <vector>

namespace magnoliamill::peer::internal {

/// Shared by all threads that may post, and outlives the peer thread: after
/// close() posts are refused. Tasks run on the peer thread only.
class Mailbox {
public:
  explicit Mailbox(std::size_t capacity);
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// For new work. False when the ring is full or the mailbox is closed.
  [[nodiscard]] bool tryPost(base::Task task);
  /// For answers to and cancels of pending work. Their number is bounded by
  /// that work, so they bypass the ring and are not lost when it is full.
  /// Dropped after close().
  void postAnswer(base::Task task);

  /// Becomes readable (edge-triggered, never read) when tasks are waiting.
  int wakeHandle() const { return WakeHandle; }
  void runPending();
  /// Refuses further posts and waits for those in progress.
  void close();
  bool isClosed() const { return Closed.load(); }

private:
  bool beginPost();
  void endPost() { ActivePosts.fetch_sub(1); }
  void wake() const;

  const int WakeHandle;
  base::TaskRing Ring;
  std::atomic<bool> Closed{false};
  // Posts in progress; close() waits until there are none.
  std::atomic<int> ActivePosts{0};
  std::mutex AnswersMutex;
  std::vector<base::Task> Answers;
};

} // namespace magnoliamill::peer::internal

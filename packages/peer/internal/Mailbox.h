// How other threads reach the peer thread: a bounded ring for new work and a
// list for answers, both announced through an eventfd.
#pragma once

#include "base/EventLoopThread.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <vector>

namespace magnoliamill::peer::internal {

/// Shared by everybody who may post, and outlives the peer thread: after
/// close() posts are refused. Tasks run on the peer thread only.
class Mailbox {
public:
  explicit Mailbox(std::size_t capacity);
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// For new work. False when the ring is full or the mailbox is closed.
  [[nodiscard]] bool tryPost(base::Task task);
  /// For answers to, and cancels of, work that is under way. Their number is
  /// bounded by that work, so a full ring does not lose them. Dropped after
  /// close().
  void postAnswer(base::Task task);

  /// Becomes readable (edge-triggered, never read) when tasks are waiting.
  int wakeHandle() const { return WakeHandle; }
  void runPending();
  /// Refuses further posts and returns when none is under way any more.
  void close();
  bool isClosed() const { return Closed.load(); }

private:
  bool beginPost();
  void endPost() { ActivePosts.fetch_sub(1); }
  void wake() const;

  const int WakeHandle;
  base::TaskRing Ring;
  std::atomic<bool> Closed{false};
  // Posts under way; close() waits until there are none.
  std::atomic<int> ActivePosts{0};
  std::mutex AnswersMutex;
  std::vector<base::Task> Answers;
};

} // namespace magnoliamill::peer::internal

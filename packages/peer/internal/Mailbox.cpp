// Implements the task ring and the answer list of the peer thread.
#include "peer/internal/Mailbox.h"

#include "peer/internal/PeerMetrics.h"

#include <cstdint>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>

namespace magnoliamill::peer::internal {

Mailbox::Mailbox(std::size_t capacity)
    : WakeHandle(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      Ring(capacity, [this] { wake(); }) {}

Mailbox::~Mailbox() { ::close(WakeHandle); }

bool Mailbox::tryPost(base::Task task) {
  if (!beginPost())
    return false;
  bool posted = Ring.tryPost(std::move(task));
  endPost();
  if (!posted)
    metrics().RingRefusals.Increment();
  return posted;
}

void Mailbox::postAnswer(base::Task task) {
  if (!beginPost())
    return;
  bool IsFirst = false;
  {
    std::lock_guard lock(AnswersMutex);
    IsFirst = Answers.empty();
    Answers.push_back(std::move(task));
  }
  // Only the first task in an empty list has to wake the thread.
  if (IsFirst)
    wake();
  endPost();
}

void Mailbox::runPending() {
  // The answers are taken before the ring runs and run after it: a cancel
  // posted after its call then always finds the call.
  std::vector<base::Task> batch;
  {
    std::lock_guard lock(AnswersMutex);
    batch.swap(Answers);
  }
  Ring.runPending();
  for (auto &task : batch)
    task();
}

void Mailbox::close() {
  Closed.store(true);
  while (ActivePosts.load() != 0)
    std::this_thread::yield();
}

bool Mailbox::beginPost() {
  ActivePosts.fetch_add(1);
  if (!Closed.load())
    return true;
  endPost();
  return false;
}

void Mailbox::wake() const {
  const std::uint64_t one = 1;
  // Fails only when the counter is at its maximum, and then the thread is woken
  // anyway.
  [[maybe_unused]] auto written = write(WakeHandle, &one, sizeof one);
}

} // namespace magnoliamill::peer::internal

// The bounded task ring and the event loop that drains it.
#include "base/EventLoopThread.h"

#include "base/Log.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <pthread.h>

namespace magnoliamill::base {

TaskRing::TaskRing(std::size_t capacity, std::function<void()> wake)
    : Queue(capacity), Wake(std::move(wake)) {}

TaskRing::~TaskRing() {
  Queue.consume_all([](Task *task) { delete task; });
}

bool TaskRing::tryPost(Task task) {
  auto owned = std::make_unique<Task>(std::move(task));
  if (!Queue.bounded_push(owned.get())) {
    Refused.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  // The ring owns the task now.
  (void)owned.release();
  if (!WakePending.exchange(true))
    Wake();
  return true;
}

void TaskRing::runPending() {
  // Cleared before draining, so that a task posted meanwhile triggers another
  // wake-up.
  WakePending.store(false);
  for (std::size_t n = 0; n < MaxTasksPerWake; ++n) {
    Task *task = nullptr;
    if (!Queue.pop(task))
      return;
    std::unique_ptr<Task> owned(task);
    (*owned)();
  }
  // The remaining tasks run after the handlers that are already queued.
  if (!WakePending.exchange(true))
    Wake();
}

EventLoopThread::EventLoopThread(std::string name, std::size_t capacity)
    : Name(std::move(name)), Work(Context.get_executor()),
      Ring(capacity, [this] {
        boost::asio::post(Context, [this] { Ring.runPending(); });
      }) {}

EventLoopThread::~EventLoopThread() { stop(); }

void EventLoopThread::postReply(Task task) {
  // Passes a copy: tryPost() consumes its argument even when it fails.
  if (!Ring.tryPost(task))
    boost::asio::post(Context, std::move(task));
}

void EventLoopThread::start() {
  Thread = std::thread([this] {
    pthread_setname_np(pthread_self(), Name.substr(0, 15).c_str());
    runLoop();
  });
}

void EventLoopThread::runOnCallingThread() { runLoop(); }

void EventLoopThread::runLoop() {
  try {
    Context.run();
  } catch (const std::exception &error) {
    logError(Name, ResultCode::Internal, error.what());
    // The interrupted task may have left inconsistent state: abort and let the
    // platform restart the process.
    std::abort();
  }
}

void EventLoopThread::stop() {
  Work.reset();
  Context.stop();
  if (Thread.joinable())
    Thread.join();
}

} // namespace magnoliamill::base

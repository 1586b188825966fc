// The bounded ring between threads and the event loop that drains it.
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
  // The ring owns it now.
  (void)owned.release();
  if (!WakePending.exchange(true))
    Wake();
  return true;
}

void TaskRing::runPending() {
  // Cleared before draining: a task posted during the drain wakes us again.
  WakePending.store(false);
  for (std::size_t n = 0; n < MaxTasksPerWake; ++n) {
    Task *task = nullptr;
    if (!Queue.pop(task))
      return;
    std::unique_ptr<Task> owned(task);
    (*owned)();
  }
  // The rest waits for its turn behind the consumer's other work.
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
  // A copy, since the ring takes its task also when it refuses it.
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
    // A duty that is half done must not go on: the platform restarts us.
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

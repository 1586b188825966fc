// A thread that runs an Asio event loop and takes tasks from other threads
// through a bounded queue.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace magnoliamill::base {

using Task = std::function<void()>;

/// Multi-producer, single-consumer queue of tasks with a fixed capacity.
/// The callback given to the constructor wakes the consumer, at most once per
/// batch of tasks.
class TaskRing {
public:
  TaskRing(std::size_t capacity, std::function<void()> wake);
  ~TaskRing();
  TaskRing(const TaskRing &) = delete;
  TaskRing &operator=(const TaskRing &) = delete;

  /// Appends \p task. Returns false and counts the refusal when the ring is
  /// full; the caller must then reject the work (back-pressure). Safe from any
  /// thread.
  [[nodiscard]] bool tryPost(Task task);
  /// Upper bound on the tasks run by one call of runPending(), so that a
  /// continuous stream of tasks does not starve the consumer's sockets and
  /// timers.
  static constexpr std::size_t MaxTasksPerWake = 256;

  /// Runs queued tasks, at most MaxTasksPerWake, and requests another wake-up
  /// if that bound was reached. Called by the consumer only.
  void runPending();
  std::uint64_t countRefused() const { return Refused.load(); }

private:
  boost::lockfree::queue<Task *, boost::lockfree::fixed_sized<true>> Queue;
  std::function<void()> Wake;
  // True while a wake-up is pending, so that a burst of tasks wakes the
  // consumer only once.
  std::atomic<bool> WakePending{false};
  std::atomic<std::uint64_t> Refused{0};
};

/// Owns a thread that runs an io_context. The state that belongs to the thread
/// is only accessed on it; other threads post tasks with tryPost().
class EventLoopThread {
public:
  EventLoopThread(std::string name, std::size_t capacity);
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread &) = delete;
  EventLoopThread &operator=(const EventLoopThread &) = delete;

  boost::asio::io_context &context() { return Context; }
  [[nodiscard]] bool tryPost(Task task) {
    return Ring.tryPost(std::move(task));
  }
  /// Posts a task that completes work admitted earlier, such as a reply or a
  /// cancellation. It must not be lost, so it bypasses the ring when that is
  /// full; the number of such tasks is bounded by the admitted work.
  void postReply(Task task);
  std::uint64_t countRefused() const { return Ring.countRefused(); }
  const std::string &name() const { return Name; }
  /// True when called on the thread that runs the loop.
  bool isCurrent() { return Context.get_executor().running_in_this_thread(); }

  void start();
  /// Runs the loop on the calling thread until stop() is called, for processes
  /// with a single event loop.
  void runOnCallingThread();
  /// Stops the loop and joins the thread. Tasks still in the ring are dropped.
  void stop();

private:
  void runLoop();

  std::string Name;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  TaskRing Ring;
  std::thread Thread;
};

} // namespace magnoliamill::base

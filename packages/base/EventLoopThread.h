// A thread for one duty: an Asio event loop fed by a bounded ring of tasks.
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

/// Multi-producer, single-consumer ring of tasks with a fixed capacity.
/// The consumer is woken by the hook given at construction, at most once per
/// batch of tasks.
class TaskRing {
public:
  TaskRing(std::size_t capacity, std::function<void()> wake);
  ~TaskRing();
  TaskRing(const TaskRing &) = delete;
  TaskRing &operator=(const TaskRing &) = delete;

  /// Puts \p task at the end. False when the ring is full: the caller must
  /// then refuse its work (back-pressure); the refusal is counted.
  [[nodiscard]] bool tryPost(Task task);
  /// Tasks that one call of runPending runs at most, so that producers that
  /// never pause do not keep the consumer from its sockets and timers.
  static constexpr std::size_t MaxTasksPerWake = 256;

  /// Runs tasks that are in the ring; asks to be woken again when some are
  /// left. Called by the consumer only.
  void runPending();
  std::uint64_t countRefused() const { return Refused.load(); }

private:
  boost::lockfree::queue<Task *, boost::lockfree::fixed_sized<true>> Queue;
  std::function<void()> Wake;
  // True while a wake-up is on its way, so that a burst wakes the consumer
  // once.
  std::atomic<bool> WakePending{false};
  std::atomic<std::uint64_t> Refused{0};
};

/// Owns a thread with an io_context. Everything that belongs to the duty runs
/// on this thread; other threads reach it by tryPost.
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
  /// For what belongs to work that was admitted before (an answer, an end): it
  /// must not be lost, and its number is bounded by the admitted work. Goes
  /// past the ring when that is full.
  void postReply(Task task);
  std::uint64_t countRefused() const { return Ring.countRefused(); }
  const std::string &name() const { return Name; }
  /// True on the duty's own thread.
  bool isCurrent() { return Context.get_executor().running_in_this_thread(); }

  void start();
  /// Runs the loop on the calling thread until stop() is called on it, for
  /// processes with one event loop.
  void runOnCallingThread();
  /// Ends the loop and joins the thread. Tasks still in the ring are dropped.
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

// Runs a program's background tasks (writes, snapshots, verification, recording, file watching) on two
// threads, in the order that the scheduler chooses, so that request handling never waits for them.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "background/scheduler.hpp"

namespace gorsemount::background {

struct StepResult {
  std::uint64_t bytes = 0;
  bool done = true;  // otherwise the task is called again when it is next scheduled
};

class Executor {
 public:
  using Clock = std::function<Instant()>;
  using Work = std::function<StepResult()>;
  explicit Executor(Clock clock);
  ~Executor();  // all tasks must have been removed
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  // `work` runs on one of the executor's threads, never on both at a time. An exception that it lets escape
  // terminates the program: only the task knows how to handle its own failures.
  TaskId add(Task task, Work work);
  void request_run(TaskId task);
  // Waits for a step in progress; the task is never called again afterwards. Must not be called from the
  // task's own work.
  void remove(TaskId task);
  [[nodiscard]] std::vector<Scheduler::Counters> counters() const;

 private:
  void run(Lane lane);

  Clock clock_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Scheduler scheduler_;
  std::vector<Work> work_;  // by task
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace gorsemount::background

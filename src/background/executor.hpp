// Two threads that do a program's background work in the scheduler's order: writing, snapshots, checks,
// recording, reading files that changed. Whoever answers hands over and goes on.
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
  bool done = true;  // else it is called again when its turn comes
};

class Executor {
 public:
  using Clock = std::function<Instant()>;
  using Work = std::function<StepResult()>;
  explicit Executor(Clock clock);
  ~Executor();  // all tasks are to be removed before
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  // `work` is called from a thread of ours, never from two at a time. What it throws ends the program: a task
  // knows best what a fault of its means.
  TaskId add(Task task, Work work);
  void request_run(TaskId task);
  // Never called again from here on; waits for a piece that is under way. Not from within the task's own
  // work.
  void remove(TaskId task);
  [[nodiscard]] std::vector<Scheduler::Counters> counters() const;

 private:
  void run(Lane lane);

  Clock clock_;
  mutable std::mutex lock_;
  std::condition_variable changed_;
  Scheduler scheduler_;
  std::vector<Work> work_;  // by task
  bool stop_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace gorsemount::background

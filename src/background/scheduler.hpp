// Chooses the next background task to run on each lane: by priority among the tasks that are due, within
// their budgets of time and bytes, so that background work does not delay requests. No clocks, no threads:
// the caller passes in the time and reports how long each step ran.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace gorsemount::background {

using TaskId = Id<struct TaskTag, std::uint32_t>;

struct Task {
  std::string name;
  int priority = 0;  // lower runs first; 0: work with a deadline
  Span interval;     // from the end of one run to the start of the next; zero: runs only on request
  std::uint64_t bytes_per_second = 0;  // 0: unlimited
  double time_share = 1;               // fraction of each second that it may run; above 0
};
// The deadline lane runs only tasks of priority 0, so that a disk that hangs during verification never blocks
// a write with a deadline. The general lane runs the rest, and priority 0 while the deadline lane is busy.
enum class Lane { deadline, general };

class Scheduler {
 public:
  TaskId add(Task task, Instant now);
  void remove(TaskId task) { row(task).removed = true; }
  void request_run(TaskId task, Instant now);
  // The task to run now; empty: no task is due, or those that are due are running or out of budget.
  [[nodiscard]] std::optional<TaskId> next(Instant now, Lane lane) const;
  void step_started(TaskId task, Instant now);
  // `done`: the run is complete; otherwise the task continues when it is next scheduled.
  void step_finished(TaskId task, Instant now, Span duration, std::uint64_t bytes, bool done);
  [[nodiscard]] Instant next_wakeup(Instant now, Lane lane) const;
  [[nodiscard]] bool running(TaskId task) const { return row(task).running; }

  struct Counters {
    std::string name;
    std::uint64_t steps = 0, runs = 0, bytes = 0;
    Span longest_step;
    Span max_delay;  // from when it was due and within budget until a step started
    Span run_time;   // total
  };
  [[nodiscard]] Counters counters(TaskId task) const { return row(task).counters; }
  [[nodiscard]] std::vector<Counters> all_counters() const;  // of tasks that were not removed

 private:
  struct Row {
    Task task;
    Instant due, budget_free_at;  // budget_free_at: when its time and byte budgets allow the next step
    bool requested = false, in_progress = false, running = false, removed = false;
    Counters counters;
  };
  [[nodiscard]] Row& row(TaskId task) { return rows_.at(task.value); }
  [[nodiscard]] const Row& row(TaskId task) const { return rows_.at(task.value); }
  [[nodiscard]] static std::optional<Instant> ready_at(const Row& row);  // empty: waits for a request
  [[nodiscard]] static int effective_priority(const Row& row, Instant now);
  [[nodiscard]] static bool accepts(const Row& row, Lane lane) {
    return lane == Lane::general || row.task.priority == 0;
  }
  std::vector<Row> rows_;
};

}  // namespace gorsemount::background

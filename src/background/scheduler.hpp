// Decides which piece of background work runs next, and on which lane: by priority among what is due, within
// budgets of time and of bytes, so that nothing of it delays what people wait for. Free of clocks and
// threads: the caller says when it asks and what a piece took.
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
  int priority = 0;  // lower goes first; 0: what is promised by a deadline
  Span every;        // from the end of one to the beginning of the next; zero: whenever it is asked for
  std::uint64_t bytes_a_second = 0;  // 0: any
  double share = 1;                  // of a second, each second, that it may run; above 0
};
// The prompt lane takes priority 0 and nothing else, so that a disk that hangs under a verification never
// holds up a write that is promised; the other takes what is left over, and priority 0 too where the prompt
// one is busy.
enum class Lane { prompt, common };

class Scheduler {
 public:
  TaskId add(Task task, Instant now);
  void remove(TaskId task) { row(task).removed = true; }
  void request_run(TaskId task, Instant now);
  // Which is to run now; empty: none is due, or what is due has used up its budget or is running.
  [[nodiscard]] std::optional<TaskId> next(Instant now, Lane lane) const;
  void began(TaskId task, Instant now);
  // A piece ran. `done`: the task is at its end; else it goes on when its turn comes.
  void ran(TaskId task, Instant now, Span took, std::uint64_t bytes, bool done);
  [[nodiscard]] Instant wake_at(Instant now, Lane lane) const;
  [[nodiscard]] bool running(TaskId task) const { return row(task).running; }

  struct Counters {
    std::string name;
    std::uint64_t steps = 0, runs = 0, bytes = 0;
    Span longest_step;  // piece
    Span max_delay;     // beyond when it was due, and had budget, till a piece began
    Span run_time;      // time that it ran
  };
  [[nodiscard]] Counters counters(TaskId task) const { return row(task).counters; }
  [[nodiscard]] std::vector<Counters> all() const;  // of those that are still there

 private:
  struct Row {
    Task task;
    Instant due, free_at;  // free_at: when its budgets are paid off
    bool asked = false, underway = false, running = false, removed = false;
    Counters counters;
  };
  [[nodiscard]] Row& row(TaskId task) { return rows_.at(task.value); }
  [[nodiscard]] const Row& row(TaskId task) const { return rows_.at(task.value); }
  [[nodiscard]] static std::optional<Instant> ready(const Row& row);  // empty: not before it is asked for
  [[nodiscard]] static int rank(const Row& row, Instant now);
  [[nodiscard]] static bool fits(const Row& row, Lane lane) {
    return lane == Lane::common || row.task.priority == 0;
  }
  std::vector<Row> rows_;
};

}  // namespace gorsemount::background

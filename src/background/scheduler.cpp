#include "background/scheduler.hpp"

#include <algorithm>

namespace gorsemount::background {

namespace {

// A task that has waited this long gains one level of priority, so that busier tasks cannot starve it; it
// never reaches priority 0. Ten times the usual second between steps of the busiest task.
const Span kAgingInterval = Span::seconds(10);

}  // namespace

TaskId Scheduler::add(Task task, Instant now) {
  Row row;
  row.due = now + task.interval;
  row.counters.name = task.name;
  row.task = std::move(task);
  rows_.push_back(std::move(row));
  return {static_cast<std::uint32_t>(rows_.size() - 1)};
}

void Scheduler::request_run(TaskId task, Instant now) {
  Row& r = row(task);
  if (r.requested) return;
  r.requested = true;
  if (r.task.interval == Span{} || r.due > now) r.due = now;
}

std::optional<Instant> Scheduler::ready_at(const Row& r) {
  if (r.removed || r.running) return {};
  if (!r.requested && !r.in_progress && r.task.interval == Span{}) return {};
  return std::max(r.due, r.budget_free_at);
}

int Scheduler::effective_priority(const Row& r, Instant now) {
  const Instant since = std::max(r.due, r.budget_free_at);
  const auto levels = (now - since).micros() / kAgingInterval.micros();
  return r.task.priority == 0
             ? 0
             : std::max(1, r.task.priority - static_cast<int>(std::min<std::int64_t>(levels, 1000)));
}

std::optional<TaskId> Scheduler::next(Instant now, Lane lane) const {
  std::optional<TaskId> best;
  for (std::uint32_t k = 0; k < rows_.size(); ++k) {
    const Row& r = rows_[k];
    const auto at = ready_at(r);
    if (!accepts(r, lane) || !at || *at > now) continue;
    if (!best) {
      best = TaskId{k};
      continue;
    }
    // At equal priority the task that has waited longest goes first.
    const Row& b = row(*best);
    if (std::pair{effective_priority(r, now), *at} < std::pair{effective_priority(b, now), *ready_at(b)})
      best = TaskId{k};
  }
  return best;
}

void Scheduler::step_started(TaskId task, Instant now) {
  Row& r = row(task);
  r.counters.max_delay = std::max(r.counters.max_delay, now - std::max(r.due, r.budget_free_at));
  r.running = true, r.requested = false;
}

void Scheduler::step_finished(TaskId task, Instant now, Span duration, std::uint64_t bytes, bool done) {
  Row& r = row(task);
  r.running = false, r.in_progress = !done;
  Counters& c = r.counters;
  ++c.steps, c.runs += done ? 1 : 0, c.bytes += bytes, c.longest_step = std::max(c.longest_step, duration),
                                                       c.run_time = c.run_time + duration;
  if (!done || r.requested) {
    r.due = now;
  } else {
    r.due = now + r.task.interval;
  }
  Span pause = duration * (1 / r.task.time_share - 1);
  if (r.task.bytes_per_second > 0)
    pause = std::max(
        pause, Span::seconds(static_cast<double>(bytes) / static_cast<double>(r.task.bytes_per_second)));
  r.budget_free_at = std::max(r.budget_free_at, now) + pause;
}

Instant Scheduler::next_wakeup(Instant now, Lane lane) const {
  Instant at = Instant{} + Span::micros(INT64_MAX);
  for (const auto& r : rows_)
    if (const auto ready = ready_at(r); ready && accepts(r, lane)) at = std::min(at, std::max(now, *ready));
  return at;
}

std::vector<Scheduler::Counters> Scheduler::all_counters() const {
  std::vector<Counters> rows;
  for (const auto& r : rows_)
    if (!r.removed) rows.push_back(r.counters);
  return rows;
}

}  // namespace gorsemount::background

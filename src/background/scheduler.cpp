#include "background/scheduler.hpp"

#include <algorithm>

namespace gorsemount::background {

namespace {

// Guards against a task that others crowd out for ever: each such wait raises it by one, though never to a
// promise. Ten times the usual second between pieces of the busiest.
const Span kPatience = Span::seconds(10);

}  // namespace

TaskId Scheduler::add(Task task, Instant now) {
  Row row;
  row.due = now + task.every;
  row.counters.name = task.name;
  row.task = std::move(task);
  rows_.push_back(std::move(row));
  return {static_cast<std::uint32_t>(rows_.size() - 1)};
}

void Scheduler::request_run(TaskId task, Instant now) {
  Row& r = row(task);
  if (r.asked) return;
  r.asked = true;
  if (r.task.every == Span{} || r.due > now) r.due = now;
}

std::optional<Instant> Scheduler::ready(const Row& r) {
  if (r.removed || r.running) return {};
  if (!r.asked && !r.underway && r.task.every == Span{}) return {};
  return std::max(r.due, r.free_at);
}

int Scheduler::rank(const Row& r, Instant now) {
  const Instant since = std::max(r.due, r.free_at);
  const auto waits = (now - since).micros() / kPatience.micros();
  return r.task.priority == 0
             ? 0
             : std::max(1, r.task.priority - static_cast<int>(std::min<std::int64_t>(waits, 1000)));
}

std::optional<TaskId> Scheduler::next(Instant now, Lane lane) const {
  std::optional<TaskId> best;
  for (std::uint32_t k = 0; k < rows_.size(); ++k) {
    const Row& r = rows_[k];
    const auto at = ready(r);
    if (!fits(r, lane) || !at || *at > now) continue;
    if (!best) {
      best = TaskId{k};
      continue;
    }
    // Of the same rank, whoever has waited longest.
    const Row& b = row(*best);
    if (std::pair{rank(r, now), *at} < std::pair{rank(b, now), *ready(b)}) best = TaskId{k};
  }
  return best;
}

void Scheduler::began(TaskId task, Instant now) {
  Row& r = row(task);
  r.counters.max_delay = std::max(r.counters.max_delay, now - std::max(r.due, r.free_at));
  r.running = true, r.asked = false;
}

void Scheduler::ran(TaskId task, Instant now, Span took, std::uint64_t bytes, bool done) {
  Row& r = row(task);
  r.running = false, r.underway = !done;
  Counters& c = r.counters;
  ++c.steps, c.runs += done ? 1 : 0, c.bytes += bytes, c.longest_step = std::max(c.longest_step, took),
                                                       c.run_time = c.run_time + took;
  if (!done || r.asked) {
    r.due = now;
  } else {
    r.due = now + r.task.every;
  }
  Span rest = took * (1 / r.task.share - 1);
  if (r.task.bytes_a_second > 0)
    rest = std::max(rest,
                    Span::seconds(static_cast<double>(bytes) / static_cast<double>(r.task.bytes_a_second)));
  r.free_at = std::max(r.free_at, now) + rest;
}

Instant Scheduler::wake_at(Instant now, Lane lane) const {
  Instant at = Instant{} + Span::micros(INT64_MAX);
  for (const auto& r : rows_)
    if (const auto ready_at = ready(r); ready_at && fits(r, lane))
      at = std::min(at, std::max(now, *ready_at));
  return at;
}

std::vector<Scheduler::Counters> Scheduler::all() const {
  std::vector<Counters> rows;
  for (const auto& r : rows_)
    if (!r.removed) rows.push_back(r.counters);
  return rows;
}

}  // namespace gorsemount::background

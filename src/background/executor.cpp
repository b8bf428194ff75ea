#include "background/executor.hpp"

#include <algorithm>
#include <chrono>

namespace gorsemount::background {

namespace {

// The wait uses the system's clock, not the caller's, so the caller's clock is checked again at least this
// often.
const Span kMaxWait = Span::seconds(0.5);

}  // namespace

Executor::Executor(Clock clock) : clock_{std::move(clock)} {
  threads_.emplace_back([this] { run(Lane::deadline); });
  threads_.emplace_back([this] { run(Lane::general); });
}

Executor::~Executor() {
  {
    const std::lock_guard lock{mutex_};
    stopping_ = true;
  }
  changed_.notify_all();
  for (auto& t : threads_) t.join();
}

TaskId Executor::add(Task task, Work work) {
  TaskId id;
  {
    const std::lock_guard lock{mutex_};
    id = scheduler_.add(std::move(task), clock_());
    work_.push_back(std::move(work));
  }
  changed_.notify_all();
  return id;
}

void Executor::request_run(TaskId task) {
  {
    const std::lock_guard lock{mutex_};
    scheduler_.request_run(task, clock_());
  }
  changed_.notify_all();
}

void Executor::remove(TaskId task) {
  std::unique_lock lock{mutex_};
  scheduler_.remove(task);
  changed_.wait(lock, [&] { return !scheduler_.running(task); });
  work_.at(task.value) = {};
}

std::vector<Scheduler::Counters> Executor::counters() const {
  const std::lock_guard lock{mutex_};
  return scheduler_.all_counters();
}

void Executor::run(Lane lane) {
  std::unique_lock lock{mutex_};
  while (!stopping_) {
    const Instant now = clock_();
    const auto task = scheduler_.next(now, lane);
    if (!task) {
      const Span wait = std::clamp(scheduler_.next_wakeup(now, lane) - now, Span::micros(100), kMaxWait);
      changed_.wait_for(lock, std::chrono::microseconds(wait.micros()));
      continue;
    }
    scheduler_.step_started(*task, now);
    const Work work = work_.at(task->value);
    lock.unlock();
    const StepResult result = work();
    lock.lock();
    const Instant end = clock_();
    scheduler_.step_finished(*task, end, end - now, result.bytes, result.done);
    changed_.notify_all();
  }
}

}  // namespace gorsemount::background

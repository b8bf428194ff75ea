#include "background/executor.hpp"

#include <algorithm>
#include <chrono>

namespace gorsemount::background {

namespace {

// The clock is the caller's; a wait of ours is by another, so it is looked at again.
const Span kLook = Span::seconds(0.5);

}  // namespace

Executor::Executor(Clock clock) : clock_{std::move(clock)} {
  threads_.emplace_back([this] { run(Lane::prompt); });
  threads_.emplace_back([this] { run(Lane::common); });
}

Executor::~Executor() {
  {
    const std::lock_guard lock{lock_};
    stop_ = true;
  }
  changed_.notify_all();
  for (auto& t : threads_) t.join();
}

TaskId Executor::add(Task task, Work work) {
  TaskId id;
  {
    const std::lock_guard lock{lock_};
    id = scheduler_.add(std::move(task), clock_());
    work_.push_back(std::move(work));
  }
  changed_.notify_all();
  return id;
}

void Executor::request_run(TaskId task) {
  {
    const std::lock_guard lock{lock_};
    scheduler_.request_run(task, clock_());
  }
  changed_.notify_all();
}

void Executor::remove(TaskId task) {
  std::unique_lock lock{lock_};
  scheduler_.remove(task);
  changed_.wait(lock, [&] { return !scheduler_.running(task); });
  work_.at(task.value) = {};
}

std::vector<Scheduler::Counters> Executor::counters() const {
  const std::lock_guard lock{lock_};
  return scheduler_.all();
}

void Executor::run(Lane lane) {
  std::unique_lock lock{lock_};
  while (!stop_) {
    const Instant now = clock_();
    const auto task = scheduler_.next(now, lane);
    if (!task) {
      const Span wait = std::clamp(scheduler_.wake_at(now, lane) - now, Span::micros(100), kLook);
      changed_.wait_for(lock, std::chrono::microseconds(wait.micros()));
      continue;
    }
    scheduler_.began(*task, now);
    const Work work = work_.at(task->value);
    lock.unlock();
    const StepResult piece = work();
    lock.lock();
    const Instant end = clock_();
    scheduler_.ran(*task, end, end - now, piece.bytes, piece.done);
    changed_.notify_all();
  }
}

}  // namespace gorsemount::background

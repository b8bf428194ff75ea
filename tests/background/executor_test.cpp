// Background tasks: work with a deadline runs first and is never blocked by other tasks, budgets hold, and no
// task starves.
#include "background/executor.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

#include "net/loop.hpp"

namespace gorsemount::background {
namespace {

Instant at(double s) { return Instant::at_seconds(s); }
Span span(double s) { return Span::seconds(s); }

// Runs one lane under a simulated clock; the test sets the duration of each step.
class SimulatedLane {
 public:
  Scheduler s;
  double now = 0;
  std::vector<std::string> order;
  void run(double until, const std::function<std::tuple<double, std::uint64_t, bool>(TaskId)>& step,
           Lane lane = Lane::general) {
    while (now < until) {
      const auto task = s.next(at(now), lane);
      if (!task) {
        now = std::min(until, std::max(now + 1e-6, (s.next_wakeup(at(now), lane) - Instant{}).seconds()));
        continue;
      }
      s.step_started(*task, at(now));
      const auto [duration, bytes, done] = step(*task);
      now += duration;
      s.step_finished(*task, at(now), span(duration), bytes, done);
      order.push_back(s.counters(*task).name);
    }
  }
};

TEST(Scheduler, RunsByPriorityWithinTheByteBudget) {
  Scheduler s;
  const auto write = s.add({"write", 0, span(0.5), 0, 1}, at(0));
  const auto check = s.add({"check", 2, span(1), 1000, 1}, at(0));
  const auto snapshot = s.add({"snapshot", 1, {}, 0, 1}, at(0));
  const auto run_step = [&](TaskId task, double now, double duration, std::uint64_t bytes, bool done) {
    s.step_started(task, at(now)), s.step_finished(task, at(now), span(duration), bytes, done);
  };
  EXPECT_FALSE(s.next(at(0.1), Lane::general));
  EXPECT_EQ(s.next_wakeup(at(0.1), Lane::general), at(0.5));
  EXPECT_EQ(s.next(at(2), Lane::general), write);
  s.request_run(snapshot, at(2));
  EXPECT_EQ(s.next(at(2), Lane::deadline), write);
  run_step(write, 2, 0.01, 100, true);
  EXPECT_FALSE(s.next(at(2), Lane::deadline)) << "no other task has a deadline";
  EXPECT_EQ(s.next(at(2), Lane::general), snapshot);
  run_step(snapshot, 2, 0.02, 100, true);
  EXPECT_EQ(s.next(at(2), Lane::general), check);
  run_step(check, 2, 0.1, 5000, false);
  EXPECT_FALSE(s.next(at(2.1), Lane::general)) << "its byte budget is used up";
  EXPECT_EQ(s.next(at(7.1), Lane::general), write);
  run_step(write, 7.1, 0, 0, true);
  EXPECT_EQ(s.next(at(7.1), Lane::general), check) << "the run continues";
  EXPECT_EQ(s.counters(check).longest_step, span(0.1));
}

TEST(Scheduler, KeepsEachTaskWithinItsTimeShare) {
  SimulatedLane p;
  const auto heavy = p.s.add({"heavy", 2, {}, 0, 0.25}, at(0));
  p.s.request_run(heavy, at(0));
  p.run(100, [](TaskId) { return std::tuple{0.05, std::uint64_t{1}, false}; });
  EXPECT_NEAR(p.s.counters(heavy).run_time.seconds(), 25, 0.2);
}

// A low-priority task beside two that could fill the lane runs after a bounded wait; work with a deadline
// stays first.
TEST(Scheduler, NoTaskStarves) {
  SimulatedLane p;
  const auto deadline_task = p.s.add({"deadline", 0, span(0.5), 0, 1}, at(0));
  const auto busy = p.s.add({"busy", 1, {}, 0, 1}, at(0)), low = p.s.add({"low", 4, {}, 0, 1}, at(0));
  p.s.request_run(busy, at(0)), p.s.request_run(low, at(0));
  double first_low = -1;
  p.run(120, [&](TaskId task) {
    if (task == low && first_low < 0) first_low = p.now;
    return std::tuple{0.1, std::uint64_t{1}, task == deadline_task};
  });
  EXPECT_GT(first_low, 29);
  EXPECT_LT(first_low, 32) << "three priority levels at ten seconds each";
  EXPECT_GT(p.s.counters(low).steps, 2U);
  EXPECT_LT(p.s.counters(deadline_task).max_delay, span(0.11)) << "at most one step of another task";
}

TEST(Scheduler, ARequestDuringARunStartsAnotherRun) {
  Scheduler s;
  const auto task = s.add({"asked", 1, {}, 0, 1}, at(0));
  EXPECT_FALSE(s.next(at(1), Lane::general));
  s.request_run(task, at(1)), s.request_run(task, at(1));
  s.step_started(task, at(1));
  EXPECT_FALSE(s.next(at(1), Lane::general)) << "never concurrently";
  s.request_run(task, at(1.5));
  s.step_finished(task, at(2), span(1), 0, true);
  EXPECT_EQ(s.next(at(2), Lane::general), task);
  s.step_started(task, at(2)), s.step_finished(task, at(2), {}, 0, true);
  EXPECT_FALSE(s.next(at(3), Lane::general)) << "once per request";
  s.request_run(task, at(3)), s.remove(task);
  EXPECT_FALSE(s.next(at(4), Lane::general));
}

TEST(Executor, AHungStepDoesNotBlockTheDeadlineLane) {
  Executor b{net::monotonic_now};
  std::promise<void> free;
  std::shared_future<void> freed{free.get_future()};
  std::atomic<bool> hangs{false};
  const auto stuck = b.add({"stuck", 3, {}, 0, 1}, [&] {
    hangs = true;
    freed.wait();
    return StepResult{};
  });
  std::atomic<int> writes{0};
  const auto deadline_task = b.add({"deadline", 0, span(0.002), 0, 1}, [&] {
    ++writes;
    return StepResult{};
  });
  b.request_run(stuck);
  while (!hangs) std::this_thread::yield();
  const int before = writes;
  while (writes < before + 50) std::this_thread::yield();  // would hang with a single lane
  free.set_value();
  b.remove(stuck), b.remove(deadline_task);
  const int after = writes;
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(writes, after) << "not called after its removal";
}

TEST(Executor, NeverRunsATaskConcurrentlyWithItself) {
  Executor b{net::monotonic_now};
  std::atomic<int> inside{0}, max_concurrent{0}, runs{0};
  const auto task = b.add({"often", 0, {}, 0, 1}, [&] {
    max_concurrent = std::max(max_concurrent.load(), ++inside);
    std::this_thread::sleep_for(std::chrono::microseconds(200));
    --inside, ++runs;
    return StepResult{1, runs % 3 == 0};
  });
  while (runs < 100) {
    b.request_run(task);
    std::this_thread::yield();
  }
  b.remove(task);
  EXPECT_EQ(max_concurrent, 1);
}

TEST(Loop, RunsWorkPostedByOtherThreads) {
  net::Loop loop;
  int got = 0;
  std::vector<std::thread> threads;
  for (int k = 0; k < 4; ++k)
    threads.emplace_back([&] {
      for (int n = 0; n < 500; ++n)
        loop.post([&] {
          if (++got == 2000) loop.stop();
        });
    });
  loop.run();
  for (auto& t : threads) t.join();
  EXPECT_EQ(got, 2000);
}

}  // namespace
}  // namespace gorsemount::background

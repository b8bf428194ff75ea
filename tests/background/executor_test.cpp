// Background work: what is promised goes first and is never held up by what is not, budgets hold, nobody
// starves.
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

// One lane alone, under a made-up clock: each piece takes what the test says.
class Played {
 public:
  Scheduler s;
  double now = 0;
  std::vector<std::string> order;
  void run(double until, const std::function<std::tuple<double, std::uint64_t, bool>(TaskId)>& piece,
           Lane lane = Lane::common) {
    while (now < until) {
      const auto task = s.next(at(now), lane);
      if (!task) {
        now = std::min(until, std::max(now + 1e-6, (s.wake_at(at(now), lane) - Instant{}).seconds()));
        continue;
      }
      s.began(*task, at(now));
      const auto [took, bytes, done] = piece(*task);
      now += took;
      s.ran(*task, at(now), span(took), bytes, done);
      order.push_back(s.counters(*task).name);
    }
  }
};

TEST(Scheduler, RunsByPriorityWithinItsBytes) {
  Scheduler s;
  const auto write = s.add({"write", 0, span(0.5), 0, 1}, at(0));
  const auto check = s.add({"check", 2, span(1), 1000, 1}, at(0));
  const auto snapshot = s.add({"snapshot", 1, {}, 0, 1}, at(0));
  const auto ran = [&](TaskId task, double now, double took, std::uint64_t bytes, bool done) {
    s.began(task, at(now)), s.ran(task, at(now), span(took), bytes, done);
  };
  EXPECT_FALSE(s.next(at(0.1), Lane::common));
  EXPECT_EQ(s.wake_at(at(0.1), Lane::common), at(0.5));
  EXPECT_EQ(s.next(at(2), Lane::common), write);
  s.request_run(snapshot, at(2));
  EXPECT_EQ(s.next(at(2), Lane::prompt), write);
  ran(write, 2, 0.01, 100, true);
  EXPECT_FALSE(s.next(at(2), Lane::prompt)) << "nothing else is promised";
  EXPECT_EQ(s.next(at(2), Lane::common), snapshot);
  ran(snapshot, 2, 0.02, 100, true);
  EXPECT_EQ(s.next(at(2), Lane::common), check);
  ran(check, 2, 0.1, 5000, false);
  EXPECT_FALSE(s.next(at(2.1), Lane::common)) << "its bytes are to be paid off";
  EXPECT_EQ(s.next(at(7.1), Lane::common), write);
  ran(write, 7.1, 0, 0, true);
  EXPECT_EQ(s.next(at(7.1), Lane::common), check) << "it goes on";
  EXPECT_EQ(s.counters(check).longest_step, span(0.1));
}

TEST(Scheduler, KeepsEachTaskWithinItsShareOfTime) {
  Played p;
  const auto heavy = p.s.add({"heavy", 2, {}, 0, 0.25}, at(0));
  p.s.request_run(heavy, at(0));
  p.run(100, [](TaskId) { return std::tuple{0.05, std::uint64_t{1}, false}; });
  EXPECT_NEAR(p.s.counters(heavy).run_time.seconds(), 25, 0.2);
}

// A task of low rank beside two that could fill the lane: it waits, but not for ever, and what is promised
// stays ahead.
TEST(Scheduler, NobodyStarves) {
  Played p;
  const auto promise = p.s.add({"promise", 0, span(0.5), 0, 1}, at(0));
  const auto busy = p.s.add({"busy", 1, {}, 0, 1}, at(0)), low = p.s.add({"low", 4, {}, 0, 1}, at(0));
  p.s.request_run(busy, at(0)), p.s.request_run(low, at(0));
  double first_low = -1;
  p.run(120, [&](TaskId task) {
    if (task == low && first_low < 0) first_low = p.now;
    return std::tuple{0.1, std::uint64_t{1}, task == promise};
  });
  EXPECT_GT(first_low, 29);
  EXPECT_LT(first_low, 32) << "three ranks up, ten seconds each";
  EXPECT_GT(p.s.counters(low).steps, 2U);
  EXPECT_LT(p.s.counters(promise).max_delay, span(0.11)) << "a piece of another at most";
}

TEST(Scheduler, WhatIsAskedForWhileItRunsRunsAgain) {
  Scheduler s;
  const auto task = s.add({"asked", 1, {}, 0, 1}, at(0));
  EXPECT_FALSE(s.next(at(1), Lane::common));
  s.request_run(task, at(1)), s.request_run(task, at(1));
  s.began(task, at(1));
  EXPECT_FALSE(s.next(at(1), Lane::common)) << "never twice at a time";
  s.request_run(task, at(1.5));
  s.ran(task, at(2), span(1), 0, true);
  EXPECT_EQ(s.next(at(2), Lane::common), task);
  s.began(task, at(2)), s.ran(task, at(2), {}, 0, true);
  EXPECT_FALSE(s.next(at(3), Lane::common)) << "once for each time it was asked";
  s.request_run(task, at(3)), s.remove(task);
  EXPECT_FALSE(s.next(at(4), Lane::common));
}

TEST(Background, AHungPieceHoldsUpNoPromise) {
  Executor b{net::monotonic_now};
  std::promise<void> free;
  std::shared_future<void> freed{free.get_future()};
  std::atomic<bool> hangs{false};
  const auto stuck = b.add({"stuck", 3, {}, 0, 1}, [&] {
    hangs = true;
    freed.wait();
    return StepResult{};
  });
  std::atomic<int> kept{0};
  const auto promise = b.add({"promise", 0, span(0.002), 0, 1}, [&] {
    ++kept;
    return StepResult{};
  });
  b.request_run(stuck);
  while (!hangs) std::this_thread::yield();
  const int before = kept;
  while (kept < before + 50) std::this_thread::yield();  // for ever, were the lanes one
  free.set_value();
  b.remove(stuck), b.remove(promise);
  const int after = kept;
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(kept, after) << "never again once it was removed";
}

TEST(Background, NeverRunsATaskTwiceAtATime) {
  Executor b{net::monotonic_now};
  std::atomic<int> inside{0}, most{0}, runs{0};
  const auto task = b.add({"often", 0, {}, 0, 1}, [&] {
    most = std::max(most.load(), ++inside);
    std::this_thread::sleep_for(std::chrono::microseconds(200));
    --inside, ++runs;
    return StepResult{1, runs % 3 == 0};
  });
  while (runs < 100) {
    b.request_run(task);
    std::this_thread::yield();
  }
  b.remove(task);
  EXPECT_EQ(most, 1);
}

TEST(Loop, TakesWorkFromOtherThreads) {
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

// The retry budget: allocations never sum to more than the fleet's budget, a forwarder with failures gets
// what the others leave unused, and the loss of a zone causes no retry storm.
#include "limits/retry_budget.hpp"

#include <gtest/gtest.h>

#include <random>

#include "limits/retry_limiter.hpp"

namespace gorsemount::limits {
namespace {

constexpr double kShare = 0.1;

// Forwarders that enforce their allocations locally; reports and new allocations every half second.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(std::size_t n, double share = kShare)
      : budget{share, Span::seconds(10)},
        limiters(n),
        allocations(n, share > 0 ? share : -1),
        failure_rate(n, 0) {
    for (std::uint16_t f = 0; f < n; ++f) budget.add_forwarder(ProxyId{f});
  }
  // Each of `invocations` fails at once at its forwarder's failure rate, and is retried up to twice.
  void run_rounds(int n, int invocations = 20) {
    for (int k = 0; k < n; ++k) {
      now = now + Span::seconds(0.5);
      for (std::uint16_t f = 0; f < limiters.size(); ++f) {
        int retries = 0;
        for (int i = 0; i < invocations; ++i) {
          limiters[f].record_first_try(now);
          for (int retry = 0; retry < 2 && std::uniform_real_distribution<>{}(rng) < failure_rate[f]; ++retry)
            if (limiters[f].allow_retry(
                    now, allocations[f] < 0 ? -1 : static_cast<int>(1000 * allocations[f] + 1e-9)))
              ++retries;
        }
        first_tries += invocations, retries_total += retries;
        budget.record_tries(now, ProxyId{f}, invocations, retries);
      }
      for (const auto& [id, allocation] : budget.allocate(now))
        changed_allocations += allocation != allocations[id.value] ? 1 : 0,
            allocations[id.value] = allocation;
    }
  }
  void reset_counts() { first_tries = retries_total = 0, changed_allocations = 0; }
  RetryBudget budget;
  std::vector<RetryLimiter> limiters;
  std::vector<double> allocations, failure_rate;
  std::mt19937 rng{3};
  Instant now = Instant::at_seconds(100);
  double first_tries = 0, retries_total = 0;
  int changed_allocations = 0;
};

TEST(RetryBudget, FastFailuresOfAWholeZoneCauseNoRetryStorm) {
  SimulatedFleet fleet{50}, unlimited{50, 0};
  for (auto* f : {&fleet, &unlimited}) {
    f->run_rounds(20);
    f->failure_rate.assign(50, 1.0 / 3);
    f->run_rounds(20);
    f->reset_counts();
    f->run_rounds(100);
  }
  EXPECT_LE(fleet.retries_total / fleet.first_tries, kShare * 1.01);
  EXPECT_GT(fleet.retries_total / fleet.first_tries, kShare * 0.8);
  EXPECT_GT(unlimited.retries_total / unlimited.first_tries, 0.4)
      << "without a budget there is a retry storm";
}

TEST(RetryBudget, AForwarderWithFailuresBorrowsWhatOthersLeaveUnused) {
  SimulatedFleet fleet{20};
  fleet.run_rounds(40);
  EXPECT_EQ(fleet.changed_allocations, 0) << "without failures no allocation changes";
  fleet.failure_rate[7] = 0.5;
  fleet.run_rounds(40);
  EXPECT_NEAR(fleet.allocations[7], 4 * kShare, 1e-9);
  for (std::uint16_t f = 0; f < 20; ++f)
    if (f != 7) {
      EXPECT_GE(fleet.allocations[f], kShare / 2 - 1e-9) << "a lender keeps a reserve for its own failures";
    }
  fleet.failure_rate[7] = 0;
  fleet.run_rounds(60);
  for (const double allocation : fleet.allocations)
    EXPECT_NEAR(allocation, kShare, kShare / 4) << "borrowed allocations are returned";
}

// With random traffic and failures, the allocations multiplied by the first tries stay within the budget
// after every round.
TEST(RetryBudget, AllocationsNeverExceedTheBudget) {
  std::mt19937 rng{5};
  for (int run = 0; run < 40; ++run) {
    RetryBudget budget{kShare, Span::seconds(10)};
    const std::uint16_t n = static_cast<std::uint16_t>(1 + rng() % 30);
    std::vector<std::vector<std::pair<Instant, int>>> first_tries_by_forwarder(n);
    std::vector<int> rate(n, 10);
    std::vector<double> failure_rate(n, 0);
    for (std::uint16_t f = 0; f < n; ++f) budget.add_forwarder(ProxyId{f});
    if (run % 3 == 0) budget.restore(ProxyId{0}, 9);
    Instant now = Instant::at_seconds(5);
    for (int round = 0; round < 150; ++round) {
      now = now + Span::seconds(0.5);
      for (std::uint16_t f = 0; f < n; ++f) {
        if (rng() % 20 == 0) rate[f] = static_cast<int>(rng() % 100);
        if (rng() % 20 == 0) failure_rate[f] = static_cast<double>(rng() % 3) / 2;
        const int retries = static_cast<int>(failure_rate[f] * rate[f]);
        budget.record_tries(now, ProxyId{f}, rate[f], retries);
        first_tries_by_forwarder[f].emplace_back(now, rate[f]);
      }
      double budget_tries = 0, allocated = 0;
      for (const auto& [id, allocation] : budget.allocate(now)) {
        double first_tries = 0;
        for (const auto& [at, k] : first_tries_by_forwarder[id.value])
          first_tries += now - at <= Span::seconds(10) ? k : 0;
        budget_tries += kShare * first_tries, allocated += allocation * first_tries;
        EXPECT_GE(allocation, 0);
        EXPECT_LE(allocation, 4 * kShare + 1e-12);
      }
      ASSERT_LE(allocated, budget_tries * (1 + 1e-6)) << "run " << run << " round " << round;
    }
  }
}

TEST(RetryBudget, ARestoredAllocationHoldsUntilReportsChangeIt) {
  RetryBudget budget{kShare, Span::seconds(10)};
  budget.add_forwarder(ProxyId{1}), budget.add_forwarder(ProxyId{2});
  budget.restore(ProxyId{1}, 3 * kShare);
  EXPECT_NEAR(budget.allocations().at(ProxyId{1}), 3 * kShare, 1e-12);
  budget.record_tries(Instant::at_seconds(1), ProxyId{1}, 100, 0),
      budget.record_tries(Instant::at_seconds(1), ProxyId{2}, 100, 0);
  EXPECT_NEAR(budget.allocate(Instant::at_seconds(1)).at(ProxyId{1}), kShare, 1e-12);
}

TEST(RetryBudget, SideEffectingOperationsAreRetriedOnlyAfterProof) {
  for (const auto ordered :
       {RetryPolicy::none, RetryPolicy::if_unprocessed, RetryPolicy::one, RetryPolicy::two}) {
    EXPECT_EQ(allowed_retries(Effect::side_effecting, ordered),
              std::min(ordered, RetryPolicy::if_unprocessed));
    EXPECT_EQ(allowed_retries(Effect::fingerprinted, ordered), std::min(ordered, RetryPolicy::one));
    EXPECT_EQ(allowed_retries(Effect::idempotent, ordered), ordered);
  }
}

TEST(RetryLimiter, CountsTheLastTenSecondsAndAlwaysAllowsAFewRetries) {
  RetryLimiter limiter;
  Instant now = Instant::at_seconds(50);
  int allowed = 0;
  for (int k = 0; k < 10; ++k) allowed += limiter.allow_retry(now, 0) ? 1 : 0;
  EXPECT_EQ(allowed, 3);
  for (int k = 0; k < 100; ++k) limiter.record_first_try(now);
  for (int k = 0; k < 100; ++k) allowed += limiter.allow_retry(now, 200) ? 1 : 0;
  EXPECT_EQ(allowed, 20);
  now = now + Span::seconds(9.5);
  EXPECT_FALSE(limiter.allow_retry(now, 200));
  now = now + Span::seconds(1);
  EXPECT_TRUE(limiter.allow_retry(now, 200)) << "older tries no longer count";
}

}  // namespace
}  // namespace gorsemount::limits

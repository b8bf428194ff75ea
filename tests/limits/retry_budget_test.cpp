// The budget of further tries: what is dealt never adds up to more than the fleet may, whoever is in trouble
// gets what others leave over, and no loss becomes a storm.
#include "limits/retry_budget.hpp"

#include <gtest/gtest.h>

#include <random>

#include "limits/retry_limiter.hpp"

namespace gorsemount::limits {
namespace {

constexpr double kShare = 0.1;

// Forwarders that keep to what they hold, at once; reports and deals every half second.
class Fleet {
 public:
  explicit Fleet(std::size_t n, double share = kShare)
      : budget{share, Span::seconds(10)}, meters(n), held(n, share > 0 ? share : -1), bad(n, 0) {
    for (std::uint16_t f = 0; f < n; ++f) budget.add_forwarder(ProxyId{f});
  }
  // Each of `come` invocations fails at once with its forwarder's chance, and would be tried twice more.
  void rounds(int n, int come = 20) {
    for (int k = 0; k < n; ++k) {
      now = now + Span::seconds(0.5);
      for (std::uint16_t f = 0; f < meters.size(); ++f) {
        int further = 0;
        for (int i = 0; i < come; ++i) {
          meters[f].record_first_try(now);
          for (int again = 0; again < 2 && std::uniform_real_distribution<>{}(chance) < bad[f]; ++again)
            if (meters[f].allow_retry(now, held[f] < 0 ? -1 : static_cast<int>(1000 * held[f] + 1e-9)))
              ++further;
        }
        first += come, all += further;
        budget.record_tries(now, ProxyId{f}, come, further);
      }
      for (const auto& [id, part] : budget.allocate(now))
        moved += part != held[id.value] ? 1 : 0, held[id.value] = part;
    }
  }
  void forget() { first = all = 0, moved = 0; }
  RetryBudget budget;
  std::vector<RetryLimiter> meters;
  std::vector<double> held, bad;
  std::mt19937 chance{3};
  Instant now = Instant::at_seconds(100);
  double first = 0, all = 0;
  int moved = 0;
};

TEST(RetryBudget, EveryWorkerOfAZoneFailingFastBecomesNoStorm) {
  Fleet fleet{50}, unbound{50, 0};
  for (auto* f : {&fleet, &unbound}) {
    f->rounds(20);
    f->bad.assign(50, 1.0 / 3);
    f->rounds(20);
    f->forget();
    f->rounds(100);
  }
  EXPECT_LE(fleet.all / fleet.first, kShare * 1.01);
  EXPECT_GT(fleet.all / fleet.first, kShare * 0.8);
  EXPECT_GT(unbound.all / unbound.first, 0.4) << "so the storm is there to be kept down";
}

TEST(RetryBudget, WhoIsInTroubleAloneGetsWhatOthersLeaveOver) {
  Fleet fleet{20};
  fleet.rounds(40);
  EXPECT_EQ(fleet.moved, 0) << "a quiet fleet is sent nothing";
  fleet.bad[7] = 0.5;
  fleet.rounds(40);
  EXPECT_NEAR(fleet.held[7], 4 * kShare, 1e-9);
  for (std::uint16_t f = 0; f < 20; ++f)
    if (f != 7) {
      EXPECT_GE(fleet.held[f], kShare / 2 - 1e-9) << "a reserve for its first second of trouble";
    }
  fleet.bad[7] = 0;
  fleet.rounds(60);
  for (const double part : fleet.held) EXPECT_NEAR(part, kShare, kShare / 4) << "and gives it back";
}

// Whatever comes and fails: the parts that are held, times what came, are within the budget after each deal.
TEST(RetryBudget, PartsNeverAddUpToMoreThanTheBudget) {
  std::mt19937 chance{5};
  for (int life = 0; life < 40; ++life) {
    RetryBudget budget{kShare, Span::seconds(10)};
    const std::uint16_t n = static_cast<std::uint16_t>(1 + chance() % 30);
    std::vector<std::vector<std::pair<Instant, int>>> came(n);
    std::vector<int> rate(n, 10);
    std::vector<double> fails(n, 0);
    for (std::uint16_t f = 0; f < n; ++f) budget.add_forwarder(ProxyId{f});
    if (life % 3 == 0) budget.restore(ProxyId{0}, 9);
    Instant now = Instant::at_seconds(5);
    for (int round = 0; round < 150; ++round) {
      now = now + Span::seconds(0.5);
      for (std::uint16_t f = 0; f < n; ++f) {
        if (chance() % 20 == 0) rate[f] = static_cast<int>(chance() % 100);
        if (chance() % 20 == 0) fails[f] = static_cast<double>(chance() % 3) / 2;
        const int further = static_cast<int>(fails[f] * rate[f]);
        budget.record_tries(now, ProxyId{f}, rate[f], further);
        came[f].emplace_back(now, rate[f]);
      }
      double most = 0, dealt = 0;
      for (const auto& [id, part] : budget.allocate(now)) {
        double first = 0;
        for (const auto& [when, k] : came[id.value]) first += now - when <= Span::seconds(10) ? k : 0;
        most += kShare * first, dealt += part * first;
        EXPECT_GE(part, 0);
        EXPECT_LE(part, 4 * kShare + 1e-12);
      }
      ASSERT_LE(dealt, most * (1 + 1e-6)) << "life " << life << " round " << round;
    }
  }
}

TEST(RetryBudget, WhatWasDealtBeforeARestartStandsTillReportsSayOtherwise) {
  RetryBudget budget{kShare, Span::seconds(10)};
  budget.add_forwarder(ProxyId{1}), budget.add_forwarder(ProxyId{2});
  budget.restore(ProxyId{1}, 3 * kShare);
  EXPECT_NEAR(budget.allocations().at(ProxyId{1}), 3 * kShare, 1e-12);
  budget.record_tries(Instant::at_seconds(1), ProxyId{1}, 100, 0),
      budget.record_tries(Instant::at_seconds(1), ProxyId{2}, 100, 0);
  EXPECT_NEAR(budget.allocate(Instant::at_seconds(1)).at(ProxyId{1}), kShare, 1e-12);
}

TEST(RetryBudget, SideEffectingWorkNeverGetsMoreThanProof) {
  for (const auto ordered :
       {RetryPolicy::none, RetryPolicy::if_unprocessed, RetryPolicy::one, RetryPolicy::two}) {
    EXPECT_EQ(allowed_retries(Effect::side_effecting, ordered),
              std::min(ordered, RetryPolicy::if_unprocessed));
    EXPECT_EQ(allowed_retries(Effect::fingerprinted, ordered), std::min(ordered, RetryPolicy::one));
    EXPECT_EQ(allowed_retries(Effect::idempotent, ordered), ordered);
  }
}

TEST(RetryLimiter, CountsTheLastTenSecondsAndLeavesAFewInAnyCase) {
  RetryLimiter meter;
  Instant now = Instant::at_seconds(50);
  int may = 0;
  for (int k = 0; k < 10; ++k) may += meter.allow_retry(now, 0) ? 1 : 0;
  EXPECT_EQ(may, 3);
  for (int k = 0; k < 100; ++k) meter.record_first_try(now);
  for (int k = 0; k < 100; ++k) may += meter.allow_retry(now, 200) ? 1 : 0;
  EXPECT_EQ(may, 20);
  now = now + Span::seconds(9.5);
  EXPECT_FALSE(meter.allow_retry(now, 200));
  now = now + Span::seconds(1);
  EXPECT_TRUE(meter.allow_retry(now, 200)) << "what is older counts no more";
}

}  // namespace
}  // namespace gorsemount::limits

// Tests of the decision module through its interface.
#include <random>
#include <set>

#include "helpers.hpp"
#include "support/thread_time.hpp"

namespace gorsemount::testing {

TEST(Table, OneSharedTableHoldsEveryBackendByListedWeight) {
  PolicyFixture b{settings()};
  EXPECT_EQ(b.table.size(), 12U);
  EXPECT_EQ(b.bound.size(), 2U);
  b.rounds(5);
  EXPECT_EQ(b.count<SetWeight>(), 0);
  for (unsigned k = 0; k < b.size; ++k) EXPECT_DOUBLE_EQ(b.weight(k), 1);
}

TEST(Drain, DrainingAndGoneBackendsAreRemovedInTheSameReply) {
  PolicyFixture b{settings()};
  b.send({BackendListUpdate{ListScope::delta, {PolicyFixture::entry(3, Availability::draining)}}});
  EXPECT_EQ(b.weight(3), 0);
  b.send({BackendListUpdate{ListScope::delta, {PolicyFixture::entry(4, Availability::gone)}}});
  EXPECT_EQ(b.weight(4), 0);
}

TEST(SlowStart, AStartedBackendIsReducedInTheSameReplyAndRampsToFullWeight) {
  PolicyFixture b{settings()};
  b.rounds(3);
  b.send({BackendListUpdate{ListScope::delta, {PolicyFixture::entry(3, Availability::ready, b.now)}}});
  EXPECT_LE(b.weight(3), 0.2);
  b.rounds(12);
  EXPECT_GT(b.weight(3), 0.3);
  EXPECT_LT(b.weight(3), 0.9);
  b.rounds(20);
  EXPECT_DOUBLE_EQ(b.weight(3), 1);
}

TEST(SlowStart, StartedBackendsWaitForTheFirstRoundAndWhileTheFleetIsOverloaded) {
  PolicyFixture before_first_round{settings()};
  before_first_round.send({BackendListUpdate{
      ListScope::delta, {PolicyFixture::entry(3, Availability::ready, before_first_round.now)}}});
  EXPECT_EQ(before_first_round.weight(3), 0);
  PolicyFixture overloaded{settings()};
  const auto busy = [](unsigned, BackendReport& r) { r.utilization = 0.95; };
  overloaded.rounds(3, busy);
  overloaded.send(
      {BackendListUpdate{ListScope::delta, {PolicyFixture::entry(3, Availability::ready, overloaded.now)}}});
  EXPECT_EQ(overloaded.weight(3), 0);
  overloaded.rounds(14, busy);
  EXPECT_GT(overloaded.weight(3), 0);
}

TEST(Table, TheLastWarmBackendsStay) {
  PolicyFixture b{settings()};
  b.rounds(30, [](unsigned, BackendReport& r) { r.errored = r.tries; });
  EXPECT_GE(b.table.size(), 6U);
}

TEST(Subscription, IsRetriedAfterAFailure) {
  Settings s = settings();
  s.explicit_subscription = true;
  PolicyFixture b{s};
  EXPECT_EQ(b.count<SubscribeToList>(), 1);
  b.send({BackendListUpdate{ListScope::failed, {}}});
  EXPECT_EQ(b.count<SubscribeToList>(), 0);
  b.now = b.now + Span::seconds(1.5);
  b.send({TimerFired{}});
  EXPECT_EQ(b.count<SubscribeToList>(), 1);
}

TEST(Drain, WithoutBindingRemovalABackendThatAnswersStaysUntilItFails) {
  Settings s = settings();
  s.removal_binds = false;
  PolicyFixture b{s};
  b.rounds(3);
  BackendListUpdate reduced_list{ListScope::delta, {}};
  for (unsigned k = 0; k < 9; ++k)
    reduced_list.entries.push_back(PolicyFixture::entry(k, Availability::gone));
  reduced_list.entries.push_back(PolicyFixture::entry(9, Availability::draining));
  b.send({reduced_list});
  EXPECT_EQ(b.table.size(), 11U);
  b.rounds(4, [](unsigned k, BackendReport& r) { r.errored = k < 6 ? r.tries : 0; });
  EXPECT_EQ(b.table.size(), 5U);
}

TEST(Subsets, ALargeFleetIsPartitionedEvenlyByZoneWithEveryBackendOnce) {
  Settings s = settings();
  s.proxies = 100;
  Policy policy{s, 1};
  std::vector<Event> events{BackendListUpdate{ListScope::cached, {}}};
  for (unsigned k = 0; k < 240; ++k)
    std::get<BackendListUpdate>(events[0]).entries.push_back(PolicyFixture::entry(k));
  for (std::uint16_t p = 0; p < 100; ++p) events.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{}, 4});
  std::map<TableId, std::map<ZoneId, int>> zones;
  std::map<TableId, int> proxy_counts;
  std::set<BackendId> listed_backends;
  for (const auto& order : policy.handle(Instant::at_seconds(50), events)) {
    if (const auto* change = std::get_if<SetWeight>(&order)) {
      EXPECT_TRUE(listed_backends.insert(change->backend).second);
      ++zones[change->table][ZoneId{static_cast<std::uint16_t>((change->backend.value - 100) % 3)}];
    } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
      ++proxy_counts[bind->table];
    }
  }
  EXPECT_EQ(listed_backends.size(), 240U);
  EXPECT_EQ(zones.size(), 20U);
  for (const auto& [table, by_zone] : zones)
    for (const auto& [zone, n] : by_zone) EXPECT_EQ(n, 4);
  for (const auto& [table, n] : proxy_counts) EXPECT_EQ(n, 5);
}

TEST(BackendShare, ABackendThatFailsFastIsRemovedAndTriedAgain) {
  PolicyFixture b{settings()};
  b.rounds(3);
  b.rounds(2, [](unsigned k, BackendReport& r) { r.errored = k == 5 ? 8 : 0; });
  EXPECT_EQ(b.weight(5), 0);
  EXPECT_DOUBLE_EQ(b.weight(6), 1);
  b.rounds(6);
  EXPECT_GT(b.weight(5), 0);
  EXPECT_LT(b.weight(5), 1);
  b.rounds(20);
  EXPECT_DOUBLE_EQ(b.weight(5), 1);
}

TEST(BackendShare, ABackendWithoutReportsIsRemoved) {
  PolicyFixture b{settings()};
  b.rounds(6);
  b.rounds(2, [](unsigned k, BackendReport& r) { r.tries = k == 5 ? 0 : 10; });
  EXPECT_EQ(b.weight(5), 0);
}

TEST(BackendShare, DelayedReportsCountOverTheirOwnInterval) {
  PolicyFixture b{settings()};
  int round = 0;
  const auto one_third_per_round = [&](unsigned k, BackendReport& r) {
    round += k == 0 ? 1 : 0;
    r.interval = Span::seconds(3), r.tries = static_cast<int>(k) % 3 == round % 3 ? 30 : 0;
  };
  b.rounds(12, one_third_per_round);
  EXPECT_EQ(b.table.size(), 12U);
  b.rounds(9,
           [&](unsigned k, BackendReport& r) { one_third_per_round(k, r), r.tries = k == 5 ? 0 : r.tries; });
  EXPECT_LT(b.weight(5), 0.3);
  EXPECT_DOUBLE_EQ(b.weight(4), 1);
}

TEST(BackendShare, IfAllReportsAreLateNoBackendIsRemoved) {
  PolicyFixture b{settings()};
  b.rounds(6);
  b.rounds(6, [](unsigned, BackendReport& r) { r.tries = 0; });
  EXPECT_EQ(b.table.size(), 12U);
}

TEST(BackendShare, ASlowBackendKeepsAReducedWeight) {
  PolicyFixture b{settings()};
  b.rounds(12, [](unsigned k, BackendReport& r) { r.mean_latency = Span::seconds(k == 5 ? 1.5 : 0.2); });
  EXPECT_GT(b.weight(5), 0);
  EXPECT_LT(b.weight(5), 0.8);
}

TEST(BackendShare, ABackendThatFailsAfterLateAnswersIsReducedNotRemoved) {
  PolicyFixture b{settings()};
  b.rounds(2, [](unsigned k, BackendReport& r) { r.mean_latency = Span::seconds(k == 5 ? 0.9 : 0.2); });
  b.rounds(2, [](unsigned k, BackendReport& r) { r.errored = k == 5 ? 10 : 0; });
  EXPECT_GT(b.weight(5), 0);
  EXPECT_LT(b.weight(5), 1);
}

TEST(ZoneShare, AFailingZoneIsDrainedByThirdsAndRestoredByTenths) {
  PolicyFixture b{settings()};
  const auto failing = [](unsigned k, BackendReport& r) { r.errored = k % 3 == 1 ? 1 : 0; };
  b.rounds(9, failing);
  EXPECT_NEAR(b.weight(1), 2.0 / 3, 0.01);
  b.rounds(6, failing);
  EXPECT_EQ(b.weight(1), 0);
  EXPECT_DOUBLE_EQ(b.weight(0), 1);
  b.rounds(14);
  EXPECT_GT(b.weight(1), 0);
  EXPECT_LT(b.weight(1), 0.5);
  b.rounds(40);
  EXPECT_DOUBLE_EQ(b.weight(1), 1);
}

TEST(Links, ProxiesAvoidTheZoneBehindAFailingLinkUntilItRecovers) {
  PolicyFixture b{settings()};
  for (int round = 0; round < 3; ++round) b.link_round(round > 0);
  EXPECT_NE(b.bound[ProxyId{0}], TableId{});
  EXPECT_EQ(b.bound[ProxyId{1}], TableId{});
  EXPECT_EQ(b.table.size(), 12U);
  for (int round = 0; round < 30; ++round) b.link_round(false);
  EXPECT_EQ(b.bound[ProxyId{0}], TableId{});
}

// If new backends were assigned to subsets by size alone, a fleet that is replaced backend by backend would
// gather them in one subset and drain the others.
TEST(Subsets, StayEvenWhenBackendsAreReplacedOneByOne) {
  Settings s = settings();
  s.proxies = 20, s.coordinators = 1;
  Policy policy{s, 7};
  Instant now = Instant::at_seconds(1000);
  std::map<BackendId, ZoneId> fleet;
  std::map<TableId, std::map<BackendId, double>> tables;
  const auto send = [&](std::vector<Event> events) {
    for (const auto& order : policy.handle(now, events))
      if (const auto* change = std::get_if<SetWeight>(&order)) {
        if (change->weight > 0)
          tables[change->table][change->backend] = change->weight;
        else
          tables[change->table].erase(change->backend);
      }
  };
  std::vector<Event> start;
  BackendListUpdate full_list{ListScope::cached, {}};
  for (unsigned k = 0; k < 30; ++k) {
    full_list.entries.push_back(PolicyFixture::entry(k));
    fleet[BackendId{100 + k}] = ZoneId{static_cast<std::uint16_t>(k % 3)};
  }
  start.emplace_back(full_list);
  for (std::uint16_t p = 0; p < 20; ++p)
    start.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{static_cast<std::uint16_t>(p % 3)}, 1.0});
  send(start);
  ASSERT_EQ(tables.size(), 2U);
  for (unsigned k = 0; k < 60; ++k) {  // replaces the oldest by a new one in its zone
    const auto old = *fleet.begin();
    const BackendId fresh{1000 + k};
    BackendListUpdate drain{ListScope::delta, {{old.first, old.second, Availability::draining, 1, {}}}};
    send({drain});
    now = now + Span::seconds(1);
    BackendListUpdate change{ListScope::delta,
                             {{old.first, old.second, Availability::gone, 1, {}},
                              {fresh, old.second, Availability::ready, 1, {}}}};
    fleet.erase(old.first), fleet[fresh] = old.second;
    send({change});
    for (int tick = 0; tick < 4; ++tick) now = now + Span::seconds(0.25), send({TimerFired{}});
  }
  for (const auto& [table, lines] : tables) {
    std::map<ZoneId, int> by_zone;
    for (const auto& [backend, weight] : lines) ++by_zone[fleet.at(backend)];
    EXPECT_EQ(lines.size(), 15U);
    for (const auto& [zone, n] : by_zone) EXPECT_EQ(n, 5);
  }
}

// Guards against proxies that keep a table for which nothing is ordered any more: after a new partition they
// wait for room in the channel to be bound anew, and meanwhile a backend of their former table drains.
TEST(Subsets, ProxiesThatWaitForANewTableHearOfDrains) {
  constexpr unsigned kBackends = 200, kBackendsLeft = 80;
  constexpr std::uint16_t kProxies = 2400;  // all proxies of five coordinators come to this one
  Settings s = settings();
  s.proxies = kProxies, s.coordinators = 5;
  s.push_rate = 5600, s.backlog = 11200, s.per_message = 4;
  Policy policy{s, 7};
  Instant now = Instant::at_seconds(1000);
  std::map<TableId, std::map<BackendId, double>> tables;
  std::map<ProxyId, TableId> bound;
  const auto send = [&](const std::vector<Event>& events) {
    for (const auto& order : policy.handle(now, events)) {
      if (const auto* change = std::get_if<SetWeight>(&order)) {
        tables[change->table][change->backend] = change->weight;
        if (change->weight <= 0) tables[change->table].erase(change->backend);
      } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
        bound[bind->proxy] = bind->table;
      }
    }
  };
  const auto wait = [&](double seconds) {
    for (double passed = 0; passed < seconds; passed += 0.25)
      now = now + Span::seconds(0.25), send({TimerFired{}});
  };
  BackendListUpdate first{ListScope::cached, {}};
  for (unsigned k = 0; k < kBackends; ++k) first.entries.push_back(PolicyFixture::entry(k));
  std::vector<Event> start{first};
  for (std::uint16_t p = 0; p < kProxies; ++p)
    start.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{static_cast<std::uint16_t>(p % 3)}, 2.3});
  send(start);
  wait(60);
  ASSERT_EQ(bound.size(), kProxies);
  ASSERT_EQ(tables.size(), 16U);
  // The fleet shrinks slowly until it is partitioned anew, which binds some proxies at once.
  std::set<TableId> waiting;
  for (unsigned k = kBackends; k > kBackendsLeft && waiting.empty(); --k) {
    const auto before = bound;
    wait(1);
    send({BackendListUpdate{ListScope::delta, {PolicyFixture::entry(k - 1, Availability::gone)}}});
    if (before == bound) continue;
    for (const auto& [proxy, table] : bound)
      if (table.value >= 7) waiting.insert(table);
  }
  ASSERT_FALSE(waiting.empty()) << "no proxy waits for its new table";
  // One of the former table's backends that are still listed.
  const auto& former_lines = tables.at(*waiting.begin());
  const auto listed = std::find_if(former_lines.begin(), former_lines.end(),
                                   [](const auto& line) { return line.first.value < 100 + kBackendsLeft; });
  ASSERT_NE(listed, former_lines.end());
  const BackendId draining = listed->first;
  send({BackendListUpdate{ListScope::delta,
                          {PolicyFixture::entry(draining.value - 100, Availability::draining)}}});
  wait(0.75 * s.drain_grace.seconds());
  for (const auto& [proxy, table] : bound) {
    for (const auto& [backend, weight] : tables.at(table))
      EXPECT_NE(backend, draining) << "proxy " << proxy.value << " of table " << table.value;
    EXPECT_FALSE(tables.at(table).empty()) << "proxy " << proxy.value;
  }
  wait(60);
  for (const auto& [proxy, table] : bound) EXPECT_LT(table.value, 7);
}

// Guards against a list whose cost grows with the square of its new backends: a list of the largest size that
// discovery may send stopped the event loop for 14 s.
TEST(Subsets, AListOfManyNewBackendsIsHandledInTime) {
  constexpr unsigned kNewBackends = 40'000;  // about 4 MiB in discovery's form
  Settings s = settings();
  s.proxies = 20, s.coordinators = 1;
  s.push_rate = s.backlog = 1e9;
  Policy policy{s, 7};
  BackendListUpdate first{ListScope::cached, {}}, second{ListScope::delta, {}};
  for (unsigned k = 0; k < 30; ++k) first.entries.push_back(PolicyFixture::entry(k));
  for (unsigned k = 0; k < kNewBackends; ++k) second.entries.push_back(PolicyFixture::entry(1000 + k));
  std::vector<Event> start{first};
  for (std::uint16_t p = 0; p < 20; ++p)
    start.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{static_cast<std::uint16_t>(p % 3)}, 1.0});
  const auto tables_of = [](const std::vector<Order>& orders) {
    std::map<TableId, int> lines;
    for (const auto& order : orders)
      if (const auto* change = std::get_if<SetWeight>(&order)) ++lines[change->table];
    return lines;
  };
  ASSERT_EQ(tables_of(policy.handle(Instant::at_seconds(50), start)).size(), 2U);
  std::vector<Order> orders;
  const Span spent = thread_time([&] { orders = policy.handle(Instant::at_seconds(51), {second}); });
  EXPECT_LT(spent, kMaxReadTime) << spent.seconds() << " s";
}

TEST(Admission, OverloadLimitsTheLeastBilledOperationFirstAndIsLifted) {
  PolicyFixture b{settings()};
  b.rounds(2, [](unsigned, BackendReport& r) { r.utilization = 1.0, r.mean_latency = Span::seconds(0.6); });
  EXPECT_LT(b.limits[OperationId{0}], 0.9);
  EXPECT_DOUBLE_EQ(b.limits[OperationId{1}], 1);
  b.rounds(12, [](unsigned, BackendReport& r) { r.utilization = 0.4; });
  EXPECT_DOUBLE_EQ(b.limits[OperationId{0}], 1);
}

TEST(Admission, CapacityGrowsWithTheProxiesThatReturnAfterARestart) {
  Policy policy{settings(), 1};
  std::vector<Event> events{BackendListUpdate{ListScope::cached, {}}, ProxyJoined{ProxyId{0}, ZoneId{}, 10}};
  for (unsigned k = 0; k < 12; ++k)
    std::get<BackendListUpdate>(events[0]).entries.push_back(PolicyFixture::entry(k));
  double lowest_limit = 1;
  for (int round = 0; round < 9; ++round) {
    for (const auto& order : policy.handle(Instant::at_seconds(50 + round), events))
      if (const auto* admission = std::get_if<SetAdmission>(&order))
        lowest_limit = std::min(lowest_limit, admission->limit);
    events.clear();
    const std::uint16_t proxies = round < 4 ? 1 : 10;
    for (std::uint16_t p = 1; round == 4 && p < 10; ++p)
      events.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{}, 10});
    for (unsigned k = 0; k < 12; ++k)
      events.emplace_back(
          BackendReport{ZoneId{}, BackendId{100 + k}, proxies, 0, Span::seconds(0.2), Span::seconds(1), 0.6});
    for (std::uint16_t p = 0; p < proxies; ++p)
      for (std::uint8_t operation = 0; operation < 2; ++operation)
        events.emplace_back(DemandReport{ProxyId{p}, OperationId{operation}, 6, Span::seconds(1)});
  }
  EXPECT_DOUBLE_EQ(lowest_limit, 1);
}

// Proxies with few invocations report only in intervals in which something arrived, so that the sum of the
// last reported rates exceeds the real rate by half. That must not count as an overload.
TEST(Admission, SparseDemandReportsAreNoOverload) {
  Settings s = settings(AdmissionMode::rate);
  s.proxies = 200, s.coordinators = 1;
  Policy policy{s, 7};
  Instant now = Instant::at_seconds(1000);
  BackendListUpdate full_list{ListScope::cached, {}};
  for (unsigned k = 0; k < 12; ++k) full_list.entries.push_back(PolicyFixture::entry(k));
  std::vector<Event> events{full_list};
  for (std::uint16_t p = 0; p < 200; ++p)
    events.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{static_cast<std::uint16_t>(p % 3)}, 0.6});
  std::mt19937 rng{5};
  std::map<std::pair<int, int>, int> idle_seconds;
  int lowered = 0;
  for (int round = 0; round < 40; ++round) {
    for (const auto& order : policy.handle(now, events))
      if (const auto* admission = std::get_if<SetAdmission>(&order))
        lowered += admission->limit < 1000 ? 1 : 0;
    now = now + Span::seconds(1);
    events.clear();
    int arrivals = 0;
    for (std::uint16_t p = 0; p < 200; ++p)
      for (std::uint8_t operation = 0; operation < 2; ++operation) {
        const int n = std::poisson_distribution<int>{0.25}(rng);
        int& since = ++idle_seconds[{p, operation}];
        arrivals += n;
        if (n > 0)
          events.emplace_back(DemandReport{ProxyId{p}, OperationId{operation}, n, Span::seconds(since)}),
              since = 0;
      }
    for (unsigned k = 0; k < 12; ++k)
      events.emplace_back(BackendReport{ZoneId{0}, BackendId{100 + k},
                                        arrivals / 12 + (static_cast<int>(k) < arrivals % 12 ? 1 : 0), 0,
                                        Span::seconds(0.2), Span::seconds(1), 0.55});
  }
  EXPECT_EQ(lowered, 0);
}

TEST(Admission, ErrorsInAnIdleFleetLowerNoLimit) {
  PolicyFixture b{settings()};
  b.rounds(6, [](unsigned, BackendReport& r) { r.utilization = 0.5; });
  b.rounds(6, [](unsigned, BackendReport& r) { r.utilization = 0.5, r.errored = 3; });
  EXPECT_DOUBLE_EQ(b.limits[OperationId{0}], 1);
}

}  // namespace gorsemount::testing

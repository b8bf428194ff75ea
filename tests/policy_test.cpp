// The module through its interface: one test for each guard.
#include <random>
#include <set>

#include "helpers.hpp"

namespace gorsemount::testing {

TEST(Table, OneSharedTableHoldsEveryBackendByListedWeight) {
  Bench b{settings()};
  EXPECT_EQ(b.table.size(), 12U);
  EXPECT_EQ(b.bound.size(), 2U);
  b.rounds(5);
  EXPECT_EQ(b.count<SetWeight>(), 0);
  for (unsigned k = 0; k < b.size; ++k) EXPECT_DOUBLE_EQ(b.weight(k), 1);
}

TEST(Rules, ADrainIsCutInTheReplyThatLearnsOfIt) {
  Bench b{settings()};
  b.tell({BackendListUpdate{ListScope::delta, {Bench::entry(3, Availability::draining)}}});
  EXPECT_EQ(b.weight(3), 0);
  b.tell({BackendListUpdate{ListScope::delta, {Bench::entry(4, Availability::gone)}}});
  EXPECT_EQ(b.weight(4), 0);
}

TEST(Rules, AStartIsCutInTheReplyThatLearnsOfItAndRampsToFull) {
  Bench b{settings()};
  b.rounds(3);
  b.tell({BackendListUpdate{ListScope::delta, {Bench::entry(3, Availability::ready, b.now)}}});
  EXPECT_LE(b.weight(3), 0.2);
  b.rounds(12);
  EXPECT_GT(b.weight(3), 0.3);
  EXPECT_LT(b.weight(3), 0.9);
  b.rounds(20);
  EXPECT_DOUBLE_EQ(b.weight(3), 1);
}

TEST(Rules, NewcomersWaitForTheFirstRoundAndWhileTheFleetIsHot) {
  Bench unheard{settings()};
  unheard.tell({BackendListUpdate{ListScope::delta, {Bench::entry(3, Availability::ready, unheard.now)}}});
  EXPECT_EQ(unheard.weight(3), 0);
  Bench hot{settings()};
  const auto busy = [](unsigned, BackendReport& r) { r.utilization = 0.95; };
  hot.rounds(3, busy);
  hot.tell({BackendListUpdate{ListScope::delta, {Bench::entry(3, Availability::ready, hot.now)}}});
  EXPECT_EQ(hot.weight(3), 0);
  hot.rounds(14, busy);
  EXPECT_GT(hot.weight(3), 0);
}

TEST(Rules, TheLastWarmLinesStay) {
  Bench b{settings()};
  b.rounds(30, [](unsigned, BackendReport& r) { r.errored = r.tries; });
  EXPECT_GE(b.table.size(), 6U);
}

TEST(Rules, AListThatMustBeAskedForIsAskedForAgainAfterAFailure) {
  Settings s = settings();
  s.explicit_subscription = true;
  Bench b{s};
  EXPECT_EQ(b.count<SubscribeToList>(), 1);
  b.tell({BackendListUpdate{ListScope::failed, {}}});
  EXPECT_EQ(b.count<SubscribeToList>(), 0);
  b.now = b.now + Span::seconds(1.5);
  b.tell({TimerFired{}});
  EXPECT_EQ(b.count<SubscribeToList>(), 1);
}

TEST(Rules, WhereGoneDoesNotBindABackendThatAnswersStaysUntilItFails) {
  Settings s = settings();
  s.removal_binds = false;
  Bench b{s};
  b.rounds(3);
  BackendListUpdate shrunk{ListScope::delta, {}};
  for (unsigned k = 0; k < 9; ++k) shrunk.entries.push_back(Bench::entry(k, Availability::gone));
  shrunk.entries.push_back(Bench::entry(9, Availability::draining));
  b.tell({shrunk});
  EXPECT_EQ(b.table.size(), 11U);
  b.rounds(4, [](unsigned k, BackendReport& r) { r.errored = k < 6 ? r.tries : 0; });
  EXPECT_EQ(b.table.size(), 5U);
}

TEST(Cuts, ALargeFleetsTableIsCutIntoFewThatHoldAllZonesAndEveryBackendOnce) {
  Settings s = settings();
  s.proxies = 100;
  Policy policy{s, 1};
  std::vector<Event> events{BackendListUpdate{ListScope::cached, {}}};
  for (unsigned k = 0; k < 240; ++k)
    std::get<BackendListUpdate>(events[0]).entries.push_back(Bench::entry(k));
  for (std::uint16_t p = 0; p < 100; ++p) events.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{}, 4});
  std::map<TableId, std::map<ZoneId, int>> zones;
  std::map<TableId, int> users;
  std::set<BackendId> held;
  for (const auto& order : policy.handle(Instant::at_seconds(50), events)) {
    if (const auto* line = std::get_if<SetWeight>(&order)) {
      EXPECT_TRUE(held.insert(line->backend).second);
      ++zones[line->table][ZoneId{static_cast<std::uint16_t>((line->backend.value - 100) % 3)}];
    } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
      ++users[bind->table];
    }
  }
  EXPECT_EQ(held.size(), 240U);
  EXPECT_EQ(zones.size(), 20U);
  for (const auto& [table, by_zone] : zones)
    for (const auto& [zone, n] : by_zone) EXPECT_EQ(n, 4);
  for (const auto& [table, n] : users) EXPECT_EQ(n, 5);
}

TEST(Ladder, ABackendThatFailsFastGoesOutAndIsTriedAgain) {
  Bench b{settings()};
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

TEST(Ladder, ABackendThatIsNotHeardOfGoesOut) {
  Bench b{settings()};
  b.rounds(6);
  b.rounds(2, [](unsigned k, BackendReport& r) { r.tries = k == 5 ? 0 : 10; });
  EXPECT_EQ(b.weight(5), 0);
}

TEST(Ladder, WhereReportLinesWaitTheirTurnALinesOwnSpanCounts) {
  Bench b{settings()};
  int round = 0;
  const auto by_turns = [&](unsigned k, BackendReport& r) {
    round += k == 0 ? 1 : 0;
    r.interval = Span::seconds(3), r.tries = static_cast<int>(k) % 3 == round % 3 ? 30 : 0;
  };
  b.rounds(12, by_turns);
  EXPECT_EQ(b.table.size(), 12U);
  b.rounds(9, [&](unsigned k, BackendReport& r) { by_turns(k, r), r.tries = k == 5 ? 0 : r.tries; });
  EXPECT_LT(b.weight(5), 0.3);
  EXPECT_DOUBLE_EQ(b.weight(4), 1);
}

TEST(Ladder, WhenAllLinesAreLateNobodyGoesOut) {
  Bench b{settings()};
  b.rounds(6);
  b.rounds(6, [](unsigned, BackendReport& r) { r.tries = 0; });
  EXPECT_EQ(b.table.size(), 12U);
}

TEST(Ladder, ASlowBackendGetsLessButStaysIn) {
  Bench b{settings()};
  b.rounds(12, [](unsigned k, BackendReport& r) { r.mean_latency = Span::seconds(k == 5 ? 1.5 : 0.2); });
  EXPECT_GT(b.weight(5), 0);
  EXPECT_LT(b.weight(5), 0.8);
}

TEST(Ladder, ABackendThatJamsAfterLateAnswersIsSteppedDownNotOut) {
  Bench b{settings()};
  b.rounds(2, [](unsigned k, BackendReport& r) { r.mean_latency = Span::seconds(k == 5 ? 0.9 : 0.2); });
  b.rounds(2, [](unsigned k, BackendReport& r) { r.errored = k == 5 ? 10 : 0; });
  EXPECT_GT(b.weight(5), 0);
  EXPECT_LT(b.weight(5), 1);
}

TEST(Ladder, AZoneThatFailsAsAWholeDrainsByThirdsAndClimbsByTenths) {
  Bench b{settings()};
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

TEST(Links, ProxiesThatAZonesLinkCutsOffKeepToWhatTheyReachAndComeBack) {
  Bench b{settings()};
  for (int round = 0; round < 3; ++round) b.link_round(round > 0);
  EXPECT_NE(b.bound[ProxyId{0}], TableId{});
  EXPECT_EQ(b.bound[ProxyId{1}], TableId{});
  EXPECT_EQ(b.table.size(), 12U);
  for (int round = 0; round < 30; ++round) b.link_round(false);
  EXPECT_EQ(b.bound[ProxyId{0}], TableId{});
}

// A fleet that is replaced backend by backend: each cut keeps its part of every zone, and none runs dry.
TEST(Cuts, ReplacementOneByOneLeavesThemEven) {
  Settings s = settings();
  s.proxies = 20, s.coordinators = 1;
  Policy policy{s, 7};
  Instant now = Instant::at_seconds(1000);
  std::map<BackendId, ZoneId> fleet;
  std::map<TableId, std::map<BackendId, double>> tables;
  const auto tell = [&](std::vector<Event> events) {
    for (const auto& order : policy.handle(now, events))
      if (const auto* line = std::get_if<SetWeight>(&order)) {
        if (line->weight > 0)
          tables[line->table][line->backend] = line->weight;
        else
          tables[line->table].erase(line->backend);
      }
  };
  std::vector<Event> start;
  BackendListUpdate all{ListScope::cached, {}};
  for (unsigned k = 0; k < 30; ++k) {
    all.entries.push_back(Bench::entry(k));
    fleet[BackendId{100 + k}] = ZoneId{static_cast<std::uint16_t>(k % 3)};
  }
  start.emplace_back(all);
  for (std::uint16_t p = 0; p < 20; ++p)
    start.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{static_cast<std::uint16_t>(p % 3)}, 1.0});
  tell(start);
  ASSERT_EQ(tables.size(), 2U);
  for (unsigned k = 0; k < 60; ++k) {  // the oldest goes, a new one of its zone comes
    const auto old = *fleet.begin();
    const BackendId fresh{1000 + k};
    BackendListUpdate drain{ListScope::delta, {{old.first, old.second, Availability::draining, 1, {}}}};
    tell({drain});
    now = now + Span::seconds(1);
    BackendListUpdate change{ListScope::delta,
                             {{old.first, old.second, Availability::gone, 1, {}},
                              {fresh, old.second, Availability::ready, 1, {}}}};
    fleet.erase(old.first), fleet[fresh] = old.second;
    tell({change});
    for (int tick = 0; tick < 4; ++tick) now = now + Span::seconds(0.25), tell({TimerFired{}});
  }
  for (const auto& [table, lines] : tables) {
    std::map<ZoneId, int> by_zone;
    for (const auto& [backend, weight] : lines) ++by_zone[fleet.at(backend)];
    EXPECT_EQ(lines.size(), 15U);
    for (const auto& [zone, n] : by_zone) EXPECT_EQ(n, 5);
  }
}

TEST(Levels, OverloadTakesFromTheLeastBilledFirstAndGivesBack) {
  Bench b{settings()};
  b.rounds(2, [](unsigned, BackendReport& r) { r.utilization = 1.0, r.mean_latency = Span::seconds(0.6); });
  EXPECT_LT(b.levels[OperationId{0}], 0.9);
  EXPECT_DOUBLE_EQ(b.levels[OperationId{1}], 1);
  b.rounds(12, [](unsigned, BackendReport& r) { r.utilization = 0.4; });
  EXPECT_DOUBLE_EQ(b.levels[OperationId{0}], 1);
}

TEST(Levels, WhatCanBeCarriedGrowsWithTheProxiesThatComeBackAfterARestart) {
  Policy policy{settings(), 1};
  std::vector<Event> events{BackendListUpdate{ListScope::cached, {}}, ProxyJoined{ProxyId{0}, ZoneId{}, 10}};
  for (unsigned k = 0; k < 12; ++k) std::get<BackendListUpdate>(events[0]).entries.push_back(Bench::entry(k));
  double lowest = 1;
  for (int round = 0; round < 9; ++round) {
    for (const auto& order : policy.handle(Instant::at_seconds(50 + round), events))
      if (const auto* level = std::get_if<SetAdmission>(&order)) lowest = std::min(lowest, level->limit);
    events.clear();
    const std::uint16_t proxies = round < 4 ? 1 : 10;
    for (std::uint16_t p = 1; round == 4 && p < 10; ++p)
      events.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{}, 10});
    for (unsigned k = 0; k < 12; ++k)
      events.emplace_back(
          BackendReport{ZoneId{}, BackendId{100 + k}, proxies, 0, Span::seconds(0.2), Span::seconds(1), 0.6});
    for (std::uint16_t p = 0; p < proxies; ++p)
      for (std::uint8_t op = 0; op < 2; ++op)
        events.emplace_back(DemandReport{ProxyId{p}, OperationId{op}, 6, Span::seconds(1)});
  }
  EXPECT_DOUBLE_EQ(lowest, 1);
}

// Many proxies to which little comes tell of it now and then: what was last told adds up to half as much
// again as comes, and must not be taken for an overload.
TEST(Levels, ProxiesThatTellOnlyNowAndThenAreNoOverload) {
  Settings s = settings(AdmissionMode::rate);
  s.proxies = 200, s.coordinators = 1;
  Policy policy{s, 7};
  Instant now = Instant::at_seconds(1000);
  BackendListUpdate all{ListScope::cached, {}};
  for (unsigned k = 0; k < 12; ++k) all.entries.push_back(Bench::entry(k));
  std::vector<Event> events{all};
  for (std::uint16_t p = 0; p < 200; ++p)
    events.emplace_back(ProxyJoined{ProxyId{p}, ZoneId{static_cast<std::uint16_t>(p % 3)}, 0.6});
  std::mt19937 chance{5};
  std::map<std::pair<int, int>, int> quiet;
  int lowered = 0;
  for (int round = 0; round < 40; ++round) {
    for (const auto& order : policy.handle(now, events))
      if (const auto* level = std::get_if<SetAdmission>(&order)) lowered += level->limit < 1000 ? 1 : 0;
    now = now + Span::seconds(1);
    events.clear();
    int came = 0;
    for (std::uint16_t p = 0; p < 200; ++p)
      for (std::uint8_t op = 0; op < 2; ++op) {
        const int n = std::poisson_distribution<int>{0.25}(chance);
        int& since = ++quiet[{p, op}];
        came += n;
        if (n > 0)
          events.emplace_back(DemandReport{ProxyId{p}, OperationId{op}, n, Span::seconds(since)}), since = 0;
      }
    for (unsigned k = 0; k < 12; ++k)
      events.emplace_back(BackendReport{ZoneId{0}, BackendId{100 + k},
                                        came / 12 + (static_cast<int>(k) < came % 12 ? 1 : 0), 0,
                                        Span::seconds(0.2), Span::seconds(1), 0.55});
  }
  EXPECT_EQ(lowered, 0);
}

TEST(Levels, ErrorsInAnIdleFleetLowerNoLevel) {
  Bench b{settings()};
  b.rounds(6, [](unsigned, BackendReport& r) { r.utilization = 0.5; });
  b.rounds(6, [](unsigned, BackendReport& r) { r.utilization = 0.5, r.errored = 3; });
  EXPECT_DOUBLE_EQ(b.levels[OperationId{0}], 1);
}

}  // namespace gorsemount::testing

// What a coordinator passes on to another or to its next life, and what it takes from it.
#include "coordinator/fixture.hpp"

namespace gorsemount::coordinator {
namespace {

using recovery::Entry;
using recovery::Fact;
using recovery::FactKind;

std::vector<Entry> entries_of(const recovery::Facts& facts, Instant learned) {
  std::vector<Entry> entries;
  for (const auto& [subject, fact] : facts)
    entries.push_back({subject, fact, learned, entries.size() + 1, false});
  return entries;
}
// The facts as another controller hears them: on its own clock.
std::vector<Entry> moved(const recovery::Facts& facts, Instant from, Instant to) {
  auto entries = entries_of(facts, to);
  for (auto& e : entries)
    for (auto& [name, time] : e.fact.times) time = to + (time - from);
  return entries;
}

TEST(Remember, ABackendThatWasOutStaysOutForTheNextWhoLeads) {
  Rig one{9};
  one.seconds(5);
  one.workers[2].error_part = 1;
  one.seconds(4);
  ASSERT_EQ(one.weight(0, 2), 0);
  const auto facts = one.core.facts();
  ASSERT_TRUE(facts.contains({FactKind::backend_ladder, "w2"}));
  Rig blank{9}, two{9};
  blank.seconds(9), two.seconds(9);  // the same clock as the first one's
  EXPECT_EQ(blank.weight(0, 2), 1);
  two.step({FactsReceived{moved(facts, one.now, two.now)}});
  two.seconds(1);
  EXPECT_LT(two.weight(0, 2), 0.6) << "out, or tried; never whole";
}

TEST(Remember, AZoneThatWasDrainedIsNotWholeAgain) {
  Rig rig{9};
  rig.seconds(3);
  Fact ladder{"",
              {{"share", 0}, {"falling", 0}, {"relapses", 1}},
              {{"next", rig.now + Span::seconds(6)}, {"changed", rig.now}}};
  rig.step({FactsReceived{{{{FactKind::zone_ladder, "b"}, ladder, rig.now, 1, false}}}});
  rig.seconds(2);
  EXPECT_EQ(rig.weight(0, 1), 0);
  EXPECT_TRUE(rig.core.zone_shift_in_progress());
  rig.seconds(12);
  EXPECT_GT(rig.weight(0, 1), 0) << "its trial";
  EXPECT_LT(rig.weight(0, 1), 0.3);
}

TEST(Remember, NothingIsBelievedOfANameThatCameBackAsAnotherMachine) {
  const auto fresh = [](const std::string& place, double started) {
    Rig rig{9};
    Fact f{place, {{"share", 0}}, {{"next", rig.now + Span::seconds(9)}, {"changed", rig.now}}};
    if (started != 0) f.times["started"] = Instant::at_seconds(started);
    rig.step({FactsReceived{{{{FactKind::backend_ladder, "w1"}, f, rig.now, 1, false}}}});
    rig.seconds(2);
    return rig.weight(0, 1);
  };
  EXPECT_EQ(fresh("127.0.1.2:9000", 0), 0) << "the same place";
  EXPECT_EQ(fresh("127.0.1.2:9000", -1e6), 0) << "and start";
  EXPECT_EQ(fresh("127.0.1.2:9001", 0), 1) << "another place";
  EXPECT_EQ(fresh("127.0.1.2:9000", 700), 1) << "another start";
}

TEST(Remember, ADrainStandsTillTheWorkerItselfSaysOtherwise) {
  Rig rig{9};
  rig.seconds(3);
  rig.workers[4].draining = true;
  rig.seconds(1.5);
  ASSERT_EQ(rig.weight(0, 4), 0);
  const auto facts = rig.core.facts();
  ASSERT_TRUE(facts.contains({FactKind::drain, "w4"}));
  // The next life: the list says ready, and the worker is not heard yet.
  Coordinator next{rig.s, policy_decision_maker(rig.s)};
  auto e = next.step(rig.now, {FactsReceived{entries_of(facts, rig.now)}, RosterUpdate{rig.roster}});
  e = next.step(rig.now + Span::seconds(1.3), {GroupLookup{ProxyId{0}}});
  ASSERT_TRUE(e.published);
  const auto id = *next.backend_id("w4");
  EXPECT_FALSE(e.published->directory->at(id).accepts_new_work);
  // The worker says that it takes work.
  rig.workers[4].draining = false;
  e = next.step(rig.now + Span::seconds(2), {LoadReport{id, rig.now + Span::seconds(2), [&] {
                                                          auto s = rig.sample(4);
                                                          s.uptime += 2;
                                                          return s;
                                                        }()}});
  ASSERT_TRUE(e.published);
  EXPECT_TRUE(e.published->directory->at(id).accepts_new_work);
}

TEST(Remember, OfTwoControllersOrdersTheLaterHolds) {
  Rig one{9}, two{9};
  one.seconds(2), two.seconds(3);
  one.step({OperatorCommand{OperatorCommand::Action::disable, "w1", 0, {}}});
  two.step({FactsReceived{moved(one.core.facts(), one.now, two.now)}});
  two.seconds(1);
  EXPECT_EQ(two.weight(0, 1), 0);
  two.step({OperatorCommand{OperatorCommand::Action::enable, "w1", 0, {}}});
  const auto back = moved(two.core.facts(), two.now, one.now + Span::seconds(4));
  one.seconds(4);
  // The older word comes round again, and changes nothing.
  two.step({FactsReceived{moved(one.core.facts(), one.now, two.now - Span::seconds(3))}});
  two.seconds(1);
  EXPECT_EQ(two.weight(0, 1), 1);
  one.step({FactsReceived{back}});
  one.seconds(1);
  EXPECT_EQ(one.weight(0, 1), 1);
}

Settings with_forwarder() {
  Settings s = test_settings();
  s.forwarders = {{"f0", ZoneId{0}, {*Prefix::parse("127.7.0.0/24")}, 5}};
  return s;
}
RetryPolicy tries_of(const Delivery& d) { return d.table->operations[0].level.tries; }

TEST(Takeover, FurtherTriesShrinkAndComeBackOnceTheTableIsWhole) {
  const ProxyId f{kFirstForwarderId};
  for (const bool half : {false, true}) {
    Rig rig{9, with_forwarder()};
    rig.seconds(2);
    std::vector<Entry> known{
        {{FactKind::sent_table, "f0"}, {"", {{"version", 7}}, {}}, rig.now, 1, false},
        {{FactKind::held_table, "f0"}, {"", {{"version", half ? 6.0 : 7.0}}, {}}, rig.now, 2, false}};
    rig.step({FactsReceived{known}, ForwarderJoined{f, true}});
    rig.seconds(1);
    ASSERT_FALSE(rig.deliveries.empty());
    EXPECT_EQ(tries_of(rig.deliveries.back()), RetryPolicy::none);
    rig.seconds(3);
    EXPECT_EQ(tries_of(rig.deliveries.back()), RetryPolicy::none) << "it has not said that it holds it";
    rig.step({ForwarderAppliedTable{f, rig.deliveries.back().table->version}});
    rig.seconds(1);
    EXPECT_EQ(tries_of(rig.deliveries.back()), half ? RetryPolicy::none : RetryPolicy::if_unprocessed);
    rig.seconds(4);
    EXPECT_EQ(tries_of(rig.deliveries.back()), RetryPolicy::if_unprocessed);
  }
  Rig own{9, with_forwarder()};
  own.step({ForwarderJoined{f, false}});
  own.seconds(1);
  EXPECT_EQ(tries_of(own.deliveries.back()), RetryPolicy::if_unprocessed) << "nobody led it before";
}

// A restarted coordinator reaches its forwarders before it has heard a single worker.
TEST(Forwarders, ThatJoinBeforeTheFirstListIsToldGetATable) {
  Rig plain{3};
  Coordinator core{with_forwarder(), policy_decision_maker(with_forwarder())};
  Instant now = Instant::at_seconds(1000);
  std::size_t delivered =
      core.step(now, {ForwarderJoined{ProxyId{kFirstForwarderId}, false}, RosterUpdate{plain.roster}})
          .deliveries.size();
  for (int k = 0; k < 40; ++k) delivered += core.step(now = now + Span::seconds(0.1), {}).deliveries.size();
  EXPECT_GT(delivered, 0U);
}

TEST(Groups, LedElsewhereFollowTheLeaderLessWhatTheRulesForce) {
  Rig rig{9};
  rig.seconds(3);
  rig.step({GroupLeadership{ProxyId{0}, false}});
  EXPECT_EQ(rig.weight(0, 3), 1) << "what it has stays";
  rig.step({LeaderTable{ProxyId{0}, true, {{"w3", 0.25}, {"w4", 1}, {"w5", 1}}, {{0, 1}, {1, 1}}}});
  EXPECT_EQ(rig.weight(0, 3), 0.25);
  EXPECT_EQ(rig.weight(0, 1), 0);
  EXPECT_EQ(rig.weight(1, 1), 1) << "the other group is led here";
  rig.step({LeaderTable{ProxyId{0}, false, {}, {}}});
  rig.workers[4].draining = true;
  rig.seconds(1.5);
  EXPECT_EQ(rig.weight(0, 4), 0) << "rule 3, whoever leads";
  EXPECT_EQ(rig.weight(0, 3), 0.25) << "nothing is raised";
  rig.step({GroupLeadership{ProxyId{0}, true}});
  rig.seconds(3);
  EXPECT_EQ(rig.weight(0, 1), 1);
}

// A part of the retry budget that was recalled and sent is corrected once reports say otherwise.
TEST(Remember, ARecalledRetryBudgetIsCorrected) {
  Settings s = test_settings();
  s.retry_share = 0.2, s.forwarders = {{"f1", ZoneId{0}, {}, 10}};
  Rig rig{6, s};
  const ProxyId f1{kFirstForwarderId};
  rig.step({FactsReceived{
      {{{recovery::FactKind::further_tries, "f1"}, {"", {{"part", 0.6}}, {}}, rig.now, 1, false}}, true}});
  std::vector<double> sent;
  const auto heed = [&](const Effects& e) {
    for (const auto& d : e.deliveries)
      if (sent.empty() || sent.back() != d.table->retry_ratio) sent.push_back(d.table->retry_ratio);
  };
  heed(rig.step({ForwarderJoined{f1}}));
  for (int k = 0; k < 60; ++k) {
    rig.now = rig.now + Span::seconds(0.1);
    heed(rig.step({ForwarderReport{
        f1, {{BackendId{1}, OperationId{0}, 20, 0, Span::seconds(0.1)}}, {{OperationId{0}, 20}}, 0}}));
  }
  ASSERT_EQ(sent.size(), 2U) << "what was recalled, then what is so";
  EXPECT_NEAR(sent.front(), 0.6, 1e-9);
  EXPECT_NEAR(sent.back(), 0.2, 1e-9);
}

}  // namespace
}  // namespace gorsemount::coordinator

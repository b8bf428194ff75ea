// The core, stepped by hand through the failures that it is meant for.
#include "coordinator/baseline.hpp"
#include "fixture.hpp"

namespace gorsemount::coordinator {
namespace {

TEST(Coordinator, PublishesListedWeightsOnAQuietDay) {
  Rig rig{12};
  rig.seconds(5);
  for (unsigned k = 0; k < 12; ++k) EXPECT_DOUBLE_EQ(rig.weight(0, k), 1);
  EXPECT_TRUE(rig.logged("group_joined"));
}

TEST(Coordinator, ACrashedWorkerLeavesTheAnswers) {
  Rig rig{12};
  rig.seconds(5);
  rig.workers[4].down = true;
  rig.seconds(3);
  EXPECT_EQ(rig.weight(0, 4), 0);
  EXPECT_EQ(rig.weight(1, 4), 0);
  EXPECT_EQ(rig.weight(0, 5), 1);
}

TEST(Coordinator, AMachineThatRefusesConnectionsHasNoSuchWorker) {
  Rig rig{12};
  rig.seconds(5);
  for (const unsigned k : {0U, 3U, 4U, 6U, 9U})
    rig.workers[k].down = rig.workers[k].refuses = true;  // 5 of 12, a zone among them
  rig.seconds(0.3);
  for (const unsigned k : {0U, 3U, 4U, 6U, 9U})
    EXPECT_EQ(rig.weight(0, k), 0) << "no bound on judgements holds back a fact";
  rig.restart(4, "second");
  rig.seconds(1);
  EXPECT_LE(rig.weight(0, 4), 0.3) << "cold, though its health calls are answered";
  rig.seconds(25);
  EXPECT_EQ(rig.weight(0, 4), 1);
}

TEST(Coordinator, AViewInWhichMostOfTheFleetRefusesIsNotBelieved) {
  Rig rig{12};
  rig.seconds(5);
  for (unsigned k = 0; k < 12; ++k) rig.workers[k].down = rig.workers[k].refuses = true;
  rig.seconds(10);
  EXPECT_TRUE(rig.logged("absence_not_believed"));
  EXPECT_GE(rig.published->views[0][0]->lines.size(), 6U) << "rule 1";
  for (unsigned k = 0; k < 12; ++k) rig.workers[k].down = rig.workers[k].refuses = false;
  rig.seconds(40);
  for (unsigned k = 0; k < 12; ++k) EXPECT_EQ(rig.weight(0, k), 1);
}

TEST(Coordinator, AWorkerThatTakesAndNeverAnswersIsNoticed) {
  Rig rig{12};
  rig.seconds(5);
  rig.workers[2].hangs = true;
  rig.seconds(4);
  EXPECT_EQ(rig.weight(0, 2), 0);
}

TEST(Coordinator, AWorkerThatHangsButPassesItsHealthCallsIsNoticedByWhatItNeverEnded) {
  Settings s = test_settings();
  ReportAggregator evidence{s, [](const Address&) { return ProxyId{0}; }};
  LoadSample sample{"boot", 10, false, 0.2, 0.0, {}};
  sample.counts.push_back({OperationId{0}, *Prefix::parse("127.1.0.0/24"), 10, 10, 0, 0, 1});
  Instant now = Instant::at_seconds(0);
  int tries = 0, errored = 0;
  for (int k = 0; k < 12; ++k) {
    now = now + Span::seconds(0.5), sample.uptime += 0.5, sample.counts[0].taken += 5;
    EXPECT_EQ(evidence.load(now, BackendId{1}, now, sample), SampleFault::none);
    for (const auto& e : evidence.round(now))
      if (const auto* r = std::get_if<BackendReport>(&e)) tries += r->tries, errored += r->errored;
  }
  EXPECT_EQ(tries, errored);
  EXPECT_GE(errored, 25);  // all that is older than the longest timeout, once each
  EXPECT_LE(errored, 35);
}

TEST(Coordinator, ADrainIsCutInTheStepThatHearsOfIt) {
  Rig rig{12};
  rig.seconds(5);
  auto roster = rig.roster;
  roster[3].availability = Availability::draining;
  rig.step({RosterUpdate{roster}});
  for (std::size_t group = 0; group < 3; ++group) EXPECT_EQ(rig.weight(group, 3), 0);
  EXPECT_FALSE(rig.published->directory->at(*rig.core.backend_id("w3")).accepts_new_work);
}

TEST(Coordinator, AWorkersOwnWordThatItDrainsCountsToo) {
  Rig rig{12};
  rig.seconds(5);
  rig.workers[3].draining = true;
  rig.seconds(0.6);
  EXPECT_EQ(rig.weight(0, 3), 0);
}

// The guard under the decisions: a module that orders a line for a draining worker, or none at all.
TEST(Coordinator, NoTableSpeaksForADrainingWorkerAndNoneIsEmpty) {
  std::vector<Order> next;
  Rig rig{4, test_settings(), [&](Instant, const std::vector<Event>&) { return std::exchange(next, {}); }};
  const auto line = [&](const char* name, double w) {
    return SetWeight{TableId{}, *rig.core.backend_id(name), w};
  };
  next = {line("w0", 1), line("w1", 1), BindProxy{ProxyId{0}, TableId{}}};
  rig.seconds(1);
  EXPECT_EQ(rig.weight(0, 0), 1);
  EXPECT_EQ(rig.weight(0, 2), 0);
  auto roster = rig.roster;
  roster[0].availability = Availability::draining;
  rig.step({RosterUpdate{roster}});
  next = {line("w0", 5)};
  rig.seconds(1);
  EXPECT_EQ(rig.weight(0, 0), 0) << "rule 3";
  EXPECT_GT(rig.core.counters().filtered_lines, 0U);
  next = {line("w0", 0), line("w1", 0)};
  rig.seconds(1);
  EXPECT_EQ(rig.weight(0, 1), 1) << "rule 1: what is listed and warm stands in";
  EXPECT_EQ(rig.weight(0, 0), 0);
  EXPECT_GT(rig.core.counters().fallback_views, 0U);
}

TEST(Coordinator, ARestartedWorkerIsOutUntilATableMadeSinceSpeaksForIt) {
  std::vector<Order> next;
  Rig rig{4, test_settings(), [&](Instant, const std::vector<Event>&) { return std::exchange(next, {}); }};
  for (unsigned k = 0; k < 4; ++k)
    next.emplace_back(SetWeight{TableId{}, *rig.core.backend_id("w" + std::to_string(k)), 1});
  next.emplace_back(BindProxy{ProxyId{0}, TableId{}});
  rig.seconds(1);
  rig.restart(2, "second");
  rig.seconds(1);
  EXPECT_EQ(rig.weight(0, 2), 0) << "rule 4";
  next = {SetWeight{TableId{}, *rig.core.backend_id("w2"), 0.1}};
  rig.seconds(1);
  EXPECT_DOUBLE_EQ(rig.weight(0, 2), 0.1);
}

TEST(Coordinator, AWholeZoneComesBackColdStepByStep) {
  Rig rig{12};
  rig.seconds(5);
  for (unsigned k = 2; k < 12; k += 3) rig.workers[k].down = true;
  rig.seconds(6);
  for (unsigned k = 2; k < 12; k += 3) rig.restart(k, "second");
  double before = 0;
  for (int t = 0; t < 24; ++t) {
    rig.seconds(0.5);
    const double part = rig.weight(0, 2);
    const double age = (rig.now - rig.workers[2].started).seconds() / 10;
    EXPECT_LE(part, std::max(0.0, std::min(1.0, 0.2 + 0.8 * age)) + 1e-9);
    before = std::max(before, part);
  }
  rig.seconds(20);
  EXPECT_GT(rig.weight(0, 2), 0.9);
}

TEST(Coordinator, AWorkerThatListsNoStartIsNotTakenForWarmAtOnce) {
  Settings s = test_settings();
  Coordinator core{s, policy_decision_maker(s)};
  Instant now = Instant::at_seconds(50);
  const auto roster = test_roster(3);
  auto e = core.step(now, {RosterUpdate{roster}});
  EXPECT_TRUE(e.published->views[0][0]->lines.empty());
  now = now + Span::seconds(0.1);
  e = core.step(now, {LoadReport{*core.backend_id("w0"), now, {"b", 2.0, false, 0.1, 0.0, {}}}});
  ASSERT_TRUE(e.published);
  EXPECT_EQ(e.published->views[0][0]->lines.size(), 1U) << "cold, but all there is";
  now = now + Span::seconds(1.5);  // under rule 1's bound the silent ones are taken as listed
  e = core.step(now, {});
  ASSERT_TRUE(e.published);
  EXPECT_EQ(e.published->views[0][0]->lines.size(), 2U) << "the warm ones; the cold one waits for the module";
}

TEST(Coordinator, OperationsThatAWorkerIsNotOpenToDoNotListIt) {
  Rig rig{6};
  rig.seconds(2);
  auto roster = rig.roster;
  roster[1].operations = 1;  // reads only
  rig.step({RosterUpdate{roster}});
  rig.seconds(1);
  EXPECT_GT(rig.weight(0, 1, 0), 0);
  EXPECT_EQ(rig.weight(0, 1, 1), 0);
}

TEST(Coordinator, TheChannelHoldsBackWhatDoesNotFitAndSendsItMerged) {
  Settings s = test_settings();
  s.backlog = 40, s.lines_per_second = 40;  // a table of 12 lines for two groups does not fit at once
  std::vector<Order> next;
  Rig rig{12, s, [&](Instant, const std::vector<Event>&) { return std::exchange(next, {}); }};
  const auto order = [&](double w) {
    for (unsigned k = 0; k < 12; ++k)
      next.emplace_back(SetWeight{TableId{}, *rig.core.backend_id("w" + std::to_string(k)), w});
  };
  order(1);
  next.emplace_back(BindProxy{ProxyId{0}, TableId{}}), next.emplace_back(BindProxy{ProxyId{1}, TableId{}});
  rig.seconds(0.6);
  order(2);
  rig.seconds(0.6);
  order(3);
  rig.seconds(0.6);
  EXPECT_GT(rig.core.counters().deferred_messages, 0U);
  EXPECT_TRUE(rig.logged("channel_full"));
  EXPECT_LE(rig.core.counters().peak_backlog, 40);
  rig.seconds(4);
  EXPECT_DOUBLE_EQ(rig.weight(0, 5), 3);
  EXPECT_DOUBLE_EQ(rig.weight(1, 5), 3);
}

TEST(Coordinator, NoGroupGetsMoreMessagesThanTheCap) {
  Settings s = test_settings();
  s.messages_most = 5;
  std::vector<Order> next;
  int messages = 0;
  Rig rig{3, s, [&](Instant, const std::vector<Event>&) { return std::exchange(next, {}); }};
  next = {BindProxy{ProxyId{0}, TableId{}}};
  for (int k = 0; k < 40; ++k) {
    next.emplace_back(SetWeight{TableId{}, *rig.core.backend_id("w0"), 1.0 + k});
    rig.now = rig.now + Span::seconds(0.2);
    messages +=
        static_cast<int>(rig.step({GroupLookup{ProxyId{0}}, RosterUpdate{rig.roster}}).messages.size());
    rig.roster[0].weight += 0.001;  // an event, so that the module is asked
  }
  EXPECT_EQ(messages, 5);
  rig.seconds(11);
  EXPECT_DOUBLE_EQ(rig.weight(0, 0), 40) << "what was held back is sent merged";
}

// Counted by arrival, some milliseconds off, no window holds more messages than the cap.
TEST(Coordinator, TheCapHoldsForWhoeverCountsAMomentLater) {
  Settings s = test_settings();
  s.messages_most = 5;
  std::vector<Order> next;
  std::vector<Instant> messages;
  Rig rig{3, s, [&](Instant, const std::vector<Event>&) { return std::exchange(next, {}); }};
  next = {BindProxy{ProxyId{0}, TableId{}}};
  for (int k = 0; k < 600; ++k) {
    next.emplace_back(SetWeight{TableId{}, *rig.core.backend_id("w0"), 1.0 + k});
    rig.now = rig.now + Span::seconds(0.05);
    for (std::size_t n = rig.step({GroupLookup{ProxyId{0}}, RosterUpdate{rig.roster}}).messages.size(); n > 0;
         --n)
      messages.push_back(rig.now);
    rig.roster[0].weight += 0.001;
  }
  ASSERT_GT(messages.size(), 10U);
  for (std::size_t k = 5; k < messages.size(); ++k)
    EXPECT_GT((messages[k] - messages[k - 5]).seconds(), s.messages_window.seconds() + 0.05);
}

TEST(Coordinator, TwoWithTheSameInputsPublishTheSame) {
  const auto play = [] {
    Rig rig{30};
    rig.seconds(3);
    rig.workers[7].down = true, rig.workers[8].error_part = 0.8;
    rig.seconds(6);
    std::vector<double> all;
    for (unsigned k = 0; k < 30; ++k) all.push_back(rig.weight(0, k));
    return std::pair{all, rig.published->version};
  };
  EXPECT_EQ(play(), play());
}

TEST(Coordinator, GroupsLeaveWhenIdleAndAReloadKeepsTheLadders) {
  Rig rig{12};
  rig.seconds(5);
  rig.workers[4].down = true;
  rig.seconds(3);
  ASSERT_EQ(rig.weight(0, 4), 0);
  Settings fresh = rig.s;
  fresh.groups.insert(fresh.groups.begin(), {"new", ZoneId{2}, {*Prefix::parse("127.3.0.0/16")}, 1});
  rig.step({SettingsReloaded{fresh}, GroupLookup{ProxyId{0}}});
  rig.seconds(0.6);
  EXPECT_EQ(rig.published->views.size(), 4U);
  EXPECT_EQ(rig.weight(0, 4), 0) << "known to fail before, known to fail now";
  EXPECT_EQ(rig.core.group_map()->group_of(*Address::parse("127.3.0.1")), ProxyId{0});
  for (int k = 0; k < 70; ++k) rig.now = rig.now + Span::seconds(1), rig.step({});
  EXPECT_TRUE(rig.logged("group_left"));
}

TEST(Coordinator, ARosterEntryThatMovedIsAnotherProcess) {
  Rig rig{6};
  rig.seconds(3);
  rig.roster[2].at = *Endpoint::parse("127.0.9.9:9000");
  rig.restart(2, "elsewhere");
  rig.step({RosterUpdate{rig.roster}});
  EXPECT_EQ(rig.published->directory->at(*rig.core.backend_id("w2")).at.text(), "127.0.9.9:9000");
  EXPECT_EQ(rig.weight(0, 2), 0);
  rig.seconds(1);
  EXPECT_LE(rig.weight(0, 2), 0.5);
}

TEST(Coordinator, NamesThatComeAndGoAreForgotten) {
  Rig rig{3};
  for (int n = 0; n < 20; ++n) {
    auto roster = rig.roster;
    roster[2].name = "passing-" + std::to_string(n), roster[2].at.port = static_cast<std::uint16_t>(1000 + n);
    rig.now = rig.now + Span::seconds(100);
    rig.step({RosterUpdate{roster}});
  }
  EXPECT_FALSE(rig.core.backend_id("passing-3"));
  EXPECT_TRUE(rig.core.backend_id("passing-19"));
  EXPECT_LE(rig.published->directory->size(), 10U);
}

TEST(Coordinator, FixedWeightsAreWhatTheListSays) {
  Rig rig{6, test_settings(), fixed_weights()};
  rig.seconds(2);
  rig.workers[1].down = true;
  rig.seconds(5);
  EXPECT_EQ(rig.weight(0, 1), 1) << "nothing is decided";
}

TEST(Lifetime, LeavesHalfOfTheGraceForHearingAndCutting) {
  Settings s = test_settings();
  EXPECT_EQ(answer_lifetime(s), Span::seconds(2));
  s.drain_grace = Span::seconds(1.5);
  EXPECT_EQ(answer_lifetime(s), Span::seconds(0)) << "too short to be cached at all";
  s.drain_grace = Span::seconds(600);
  EXPECT_EQ(answer_lifetime(s), Span::seconds(5)) << "never above the settings";
}

}  // namespace
}  // namespace gorsemount::coordinator

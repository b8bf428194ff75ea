// Checks the auditor on constructed records: each rule holds at its limit and is violated just beyond it.
#include "standins/auditor.hpp"

#include <gtest/gtest.h>

namespace gorsemount::standins {
namespace {

Day test_scenario() {
  Day day;
  day.operations = {{"read", "idempotent", 1, {}, {}, {}, 1}, {"write", "side-effecting", 1, {}, {}, {}, 3}};
  day.unserved = Span::seconds(3), day.drain_grace = Span::seconds(5);
  day.cold_for = Span::seconds(10), day.tip_after = Span::seconds(2);
  day.cold_from = 0.2, day.tip_multiple = 3, day.backlog = 100, day.lines_per_second = 100;
  day.messages_most = 3, day.messages_window = Span::seconds(10);
  return day;
}

Record at(double t, const char* what, nlohmann::json fields) {
  return {static_cast<std::int64_t>(t * 1e6), what, std::move(fields)};
}

std::string broken_rules(const std::vector<Record>& records) {
  std::string out;
  for (const auto& v : audit(test_scenario(), records).verdicts)
    if (!v.kept) out += v.rule + ";";
  return out;
}

TEST(Auditor, CountsServiceByOfferedValue) {
  const auto a =
      audit(test_scenario(), {at(0, "asked", {{"id", "1"}, {"operation", "read"}}),
                              at(0, "asked", {{"id", "2"}, {"operation", "write"}}),
                              at(1, "done", {{"id", "1"}, {"operation", "read"}, {"outcome", "succeeded"}})});
  EXPECT_DOUBLE_EQ(a.whole.service(), 0.25);
  EXPECT_EQ(a.whole.invocations, 2U);
  EXPECT_TRUE(a.kept());
}

TEST(Auditor, FindsAnUnservedGroupOnlyWhileAWarmWorkerIsListed) {
  const auto up = at(0, "start", {{"worker", "w"}, {"cold", false}});
  const auto empty_lookup = [](double t) {
    return at(t, "lookup", {{"zone", "a"}, {"operation", "read"}, {"lines", 0}});
  };
  EXPECT_EQ(broken_rules({up, empty_lookup(1), empty_lookup(3.9)}), "");
  EXPECT_EQ(broken_rules({up, empty_lookup(1), empty_lookup(4.1)}), "1 nobody left without a worker;");
  EXPECT_EQ(broken_rules({up, empty_lookup(1), at(2, "down", {{"worker", "w"}}), empty_lookup(9)}), "");
  EXPECT_EQ(
      broken_rules({up, empty_lookup(1),
                    at(2, "lookup", {{"zone", "a"}, {"operation", "read"}, {"lines", 0}, {"limited", true}}),
                    empty_lookup(4.1)}),
      "")
      << "a rate-limited response counts as served";
}

TEST(Auditor, FindsADuplicateEffect) {
  const auto began = [](const char* operation) {
    return at(1, "began", {{"id", "1"}, {"operation", operation}, {"worker", "w"}});
  };
  EXPECT_EQ(broken_rules({began("read"), began("read")}), "");
  EXPECT_EQ(broken_rules({began("write"), began("write")}), "2 no effect twice;");
}

TEST(Auditor, FindsSendsAndAcceptedWorkPastTheDrainGrace) {
  const auto announced = at(0, "told_draining", {{"worker", "w"}});
  const auto sent = [](bool obeys) { return at(0.1, "sent", {{"id", "1"}, {"obeys", obeys}}); };
  const auto arrival = [](double t, bool refused) {
    return at(t, "arrived", {{"id", "1"}, {"worker", "w"}, {"refused", refused}});
  };
  EXPECT_EQ(broken_rules({announced, sent(true), arrival(4.9, false)}), "");
  EXPECT_EQ(broken_rules({announced, sent(true), arrival(5.2, true)}), "3 drains kept, sending;");
  EXPECT_EQ(broken_rules({announced, sent(false), arrival(5.2, true)}), "") << "refused before it began";
  EXPECT_EQ(broken_rules({announced, sent(false), arrival(5.2, false)}), "3 drains kept, work taken on;");
  const auto by_forwarder = at(0.1, "sent", {{"id", "1"}, {"obeys", true}, {"forwarder", "f"}});
  const auto joined = [](double t) { return at(t, "joined", {{"forwarder", "f"}}); };
  EXPECT_EQ(broken_rules({announced, by_forwarder, arrival(9, true)}), "")
      << "no coordinator leads the forwarder";
  EXPECT_EQ(broken_rules({announced, by_forwarder, joined(5), arrival(9, true)}), "")
      << "the time counts from its connection";
  EXPECT_EQ(broken_rules({announced, by_forwarder, joined(3), arrival(9, true)}), "3 drains kept, sending;");
  EXPECT_EQ(broken_rules({announced, sent(true), at(1, "told_ready", {{"worker", "w"}}), arrival(9, false)}),
            "");
}

TEST(Auditor, FindsAnOverloadedColdWorker) {
  const auto start = at(0, "start", {{"worker", "w"}, {"cold", true}, {"cores", 1.0}});
  const auto arrival = [](double t, double work) {
    return at(t, "arrived", {{"id", "1"}, {"worker", "w"}, {"work", work}});
  };
  // At 0.5 s its capacity is 0.24 x 2 s; three times that is 1.44 s of work.
  EXPECT_EQ(broken_rules({start, arrival(0.4, 0.7), arrival(0.5, 0.7)}), "");
  EXPECT_EQ(broken_rules({start, arrival(0.4, 0.7), arrival(0.5, 0.8)}), "4 no cold worker pushed over;");
  EXPECT_EQ(broken_rules({start, arrival(11, 50)}), "") << "warm by then";
  EXPECT_EQ(broken_rules({start, at(1, "fell", {{"worker", "w"}})}), "4 no cold worker pushed over;");
}

TEST(Auditor, RecomputesTheChannelBacklog) {
  const auto message = [](double t, double lines, int group = 0) {
    return at(t, "message", {{"coordinator", "c"}, {"group", group}, {"lines", lines}});
  };
  EXPECT_EQ(broken_rules({message(0, 100), message(1, 100, 1)}), "");
  EXPECT_EQ(broken_rules({message(0, 100), message(0.5, 51, 1)}), "5 lines waiting in a channel;");
  EXPECT_EQ(broken_rules({message(0, 1), message(1, 1), message(2, 1), message(10.5, 1)}), "");
  EXPECT_EQ(broken_rules({message(0, 1), message(1, 1), message(2, 1), message(3, 1)}),
            "5 messages to a group;");
}

TEST(Day, ReportsInvalidSettings) {
  config::Findings findings;
  static_cast<void>(read_day("zone \"a\" {}\nday { length = \"9s\" }\ntrouble \"t\" { kind = \"crush\" }\n",
                             "d", findings));
  std::string all;
  for (const auto& f : findings.faults) all += f.text() + "\n";
  EXPECT_NE(all.find("did you mean 'crash'?"), std::string::npos) << all;
  EXPECT_NE(all.find("expected at least one block each of: operation"), std::string::npos) << all;
}

}  // namespace
}  // namespace gorsemount::standins

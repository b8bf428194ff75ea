// Knowledge between controllers: it arrives whatever the paths lose, a joiner catches up, and what stood
// still in a queue is not taken for news.
#include "cluster/replication.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <random>

#include "cluster/frame_codec.hpp"

namespace gorsemount::cluster {
namespace {

using recovery::FactKind;
using recovery::Facts;

MemberId id(std::size_t k) { return MemberId{static_cast<std::uint16_t>(k)}; }

class Net {
 public:
  explicit Net(std::size_t n) : nodes(n), facts(n), offset(n) {
    for (std::size_t k = 0; k < n; ++k) offset[k] = 100.0 * static_cast<double>(k + 1), start(k, 1);
  }
  void start(std::size_t k, std::uint64_t life) {
    std::vector<MemberId> all;
    for (std::size_t j = 0; j < nodes.size(); ++j) all.push_back(id(j));
    nodes[k] = std::make_unique<Replication>(id(k), all, life);
  }
  Instant local(std::size_t k) const { return Instant::at_seconds(offset[k] + now); }
  void run(double seconds) {
    for (const double end = now + seconds; now < end; now += 0.01) {
      while (!underway.empty() && underway.begin()->first <= now) {
        const Message m = underway.begin()->second;
        underway.erase(underway.begin());
        if (nodes[m.to.value]) nodes[m.to.value]->receive(local(m.to.value), m);
      }
      for (std::size_t k = 0; k < nodes.size(); ++k) {
        if (!nodes[k]) continue;
        nodes[k]->observe(local(k), facts[k]);
        for (auto& m : nodes[k]->tick(local(k))) {
          FrameCodec frames{m.from, 1, {Key{1, {}}}};
          const auto frame = frames.seal(m);
          EXPECT_LE(frame.size(), kFrameMost);
          bytes += frame.size();
          if (std::uniform_real_distribution<>{}(chance) >= loss) underway.emplace(now + delay, m);
        }
      }
    }
  }
  [[nodiscard]] bool same(std::size_t reader, std::size_t origin) const {
    const auto& copy = nodes[reader]->copies().at(id(origin));
    std::size_t live = 0;
    for (const auto& [subject, e] : copy.known.entries()) {
      if (e.deleted) continue;
      ++live;
      const auto it = facts[origin].find(subject);
      if (it == facts[origin].end() || it->second.figures != e.fact.figures) return false;
    }
    return live == facts[origin].size() && copy.whole() && copy.confirmed;
  }

  std::mt19937 chance{4};
  double now = 0, loss = 0, delay = 0.002;
  std::vector<std::unique_ptr<Replication>> nodes;
  std::vector<Facts> facts;
  std::vector<double> offset;
  std::multimap<double, Message> underway;
  std::uint64_t bytes = 0;
};

TEST(Replication, ReachesAllThroughLossAndOneThatJoinsCatchesUp) {
  Net net{4};
  net.loss = 0.2;
  net.nodes[3].reset();
  for (int k = 0; k < 300; ++k)
    net.facts[0][{FactKind::backend_ladder, "w" + std::to_string(k)}].figures["share"] = 0.5;
  net.run(8);
  EXPECT_TRUE(net.same(1, 0));
  EXPECT_TRUE(net.same(2, 0));
  for (int round = 0; round < 50; ++round) {
    for (int k = 0; k < 5; ++k)
      net.facts[0][{FactKind::backend_ladder, "w" + std::to_string(net.chance() % 400)}].figures["share"] =
          round / 100.0;
    net.facts[0].erase({FactKind::backend_ladder, "w" + std::to_string(net.chance() % 400)});
    net.run(0.1);
  }
  net.start(3, 1);
  net.run(10);
  for (const std::size_t k : {1U, 2U, 3U}) EXPECT_TRUE(net.same(k, 0)) << k;
}

TEST(Replication, ALaterLifeOfAMemberReplacesTheOneBefore) {
  Net net{3};
  net.facts[0][{FactKind::hold, "a"}].figures["on"] = 1;
  net.run(2);
  ASSERT_TRUE(net.same(1, 0));
  net.facts[0].clear();
  net.facts[0][{FactKind::usual_rate, "g"}].figures["rate"] = 3;
  net.start(0, 2);
  net.run(3);
  EXPECT_TRUE(net.same(1, 0));
  EXPECT_TRUE(net.same(2, 0));
}

TEST(Replication, WhatLayInAQueueForLongIsNotTaken) {
  Net net{2};
  net.facts[0][{FactKind::zone_ladder, "a"}].figures["share"] = 0.3;
  net.run(2);
  ASSERT_TRUE(net.same(1, 0));
  // Member 1 stands still for 30 s; what came meanwhile waits and reaches it all at once.
  auto still = std::move(net.nodes[1]);
  std::multimap<double, Message> queued;
  net.facts[0][{FactKind::zone_ladder, "a"}].figures["share"] = 0.1;
  for (int k = 0; k < 300; ++k) {
    net.run(0.1);
    for (const auto& [when, m] : net.underway)
      if (m.to == id(1)) queued.emplace(when, m);
  }
  net.nodes[1] = std::move(still);
  net.underway.clear();
  const auto late = net.nodes[1]->counters().late;
  for (const auto& [when, m] : queued) net.nodes[1]->receive(net.local(1), m);
  EXPECT_GT(net.nodes[1]->counters().late, late);
  const auto& copy = net.nodes[1]->copies().at(id(0));
  EXPECT_EQ(copy.known.entries().at({FactKind::zone_ladder, "a"}).fact.figures.at("share"), 0.3)
      << "the old one's word, and it is known to be old";
  EXPECT_GT((net.local(1) - *copy.confirmed).seconds(), 25);
  net.run(2);
  EXPECT_TRUE(net.same(1, 0));
}

TEST(Replication, ClocksAreNeverComparedAndAFactIsAgedOnReceipt) {
  Net net{2};
  net.offset = {5000, 10};
  net.facts[0][{FactKind::cold_start, "w"}].times["started"] = Instant::at_seconds(4990);
  net.run(1.5);
  const auto& copy = net.nodes[1]->copies().at(id(0));
  const auto started = copy.known.entries().at({FactKind::cold_start, "w"}).fact.times.at("started");
  EXPECT_NEAR((started - Instant{}).seconds(), 0, 0.1) << "ten seconds before the reader's own beginning";
  EXPECT_LE(*copy.confirmed, net.local(1));
}

TEST(Replication, AFactThatFitsIntoNoMessageStopsNothing) {
  Net net{2};
  for (int k = 0; k < 500; ++k)
    net.facts[0][{FactKind::table_lines, "0/1"}].figures["worker-" + std::to_string(k)] = k;
  net.facts[0][{FactKind::zone_ladder, "a"}].figures["share"] = 0.3;
  net.run(2);
  EXPECT_TRUE(net.nodes[1]->copies().at(id(0)).known.entries().contains({FactKind::zone_ladder, "a"}));
  EXPECT_GT(net.nodes[0]->counters().too_large, 0U);
}

TEST(Replication, AGroupFollowsItsLeaderAndNobodyWhenNoneIsHeard) {
  Net net{3};
  net.facts[1][{FactKind::group_table, "g"}].figures["table"] = 2;
  net.facts[1][{FactKind::table_lines, "2/0"}].figures = {{"w1", 0.5}};
  net.facts[1][{FactKind::table_lines, "2/7"}].figures = {{"w7", 1}};
  net.facts[1][{FactKind::table_lines, "21/7"}].figures = {{"w9", 1}};
  net.facts[1][{FactKind::table_levels, "2"}].figures = {{"level read", 0.7}, {"tries read", 2}};
  net.run(2);
  const auto table = table_of(net.nodes[0]->copies(), "g", net.local(0));
  ASSERT_TRUE(table);
  EXPECT_EQ(table->lines, (std::map<std::string, double>{{"w1", 0.5}, {"w7", 1}}));
  EXPECT_EQ(table->levels.at("read"), (std::pair{2, 0.7}));
  EXPECT_FALSE(table_of(net.nodes[0]->copies(), "h", net.local(0)));
  net.nodes[1].reset();
  net.run(5);
  EXPECT_FALSE(table_of(net.nodes[0]->copies(), "g", net.local(0)));
}

}  // namespace
}  // namespace gorsemount::cluster

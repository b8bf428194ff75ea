// Replication of facts between coordinators: it completes despite message loss, a member that joins catches
// up, and batches that were delayed for too long are rejected.
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

class SimulatedNetwork {
 public:
  explicit SimulatedNetwork(std::size_t n) : nodes(n), facts(n), offset(n) {
    for (std::size_t k = 0; k < n; ++k) offset[k] = 100.0 * static_cast<double>(k + 1), start(k, 1);
  }
  void start(std::size_t k, std::uint64_t generation) {
    std::vector<MemberId> all;
    for (std::size_t j = 0; j < nodes.size(); ++j) all.push_back(id(j));
    nodes[k] = std::make_unique<Replication>(id(k), all, generation);
  }
  Instant local(std::size_t k) const { return Instant::at_seconds(offset[k] + now); }
  void run(double seconds) {
    for (const double end = now + seconds; now < end; now += 0.01) {
      while (!in_flight.empty() && in_flight.begin()->first <= now) {
        const Message message = in_flight.begin()->second;
        in_flight.erase(in_flight.begin());
        if (nodes[message.to.value]) nodes[message.to.value]->receive(local(message.to.value), message);
      }
      for (std::size_t k = 0; k < nodes.size(); ++k) {
        if (!nodes[k]) continue;
        nodes[k]->observe(local(k), facts[k]);
        for (auto& message : nodes[k]->tick(local(k))) {
          FrameCodec codec{message.from, 1, {Key{1, {}}}};
          const auto frame = codec.seal(message);
          EXPECT_LE(frame.size(), kMaxFrameBytes);
          bytes += frame.size();
          if (std::uniform_real_distribution<>{}(rng) >= loss) in_flight.emplace(now + delay, message);
        }
      }
    }
  }
  [[nodiscard]] bool matches(std::size_t reader, std::size_t origin) const {
    const auto& replica = nodes[reader]->replicas().at(id(origin));
    std::size_t live = 0;
    for (const auto& [subject, entry] : replica.log.entries()) {
      if (entry.deleted) continue;
      ++live;
      const auto it = facts[origin].find(subject);
      if (it == facts[origin].end() || it->second.figures != entry.fact.figures) return false;
    }
    return live == facts[origin].size() && replica.complete() && replica.confirmed;
  }

  std::mt19937 rng{4};
  double now = 0, loss = 0, delay = 0.002;
  std::vector<std::unique_ptr<Replication>> nodes;
  std::vector<Facts> facts;
  std::vector<double> offset;
  std::multimap<double, Message> in_flight;
  std::uint64_t bytes = 0;
};

TEST(Replication, CompletesDespiteLossAndAJoiningMemberCatchesUp) {
  SimulatedNetwork net{4};
  net.loss = 0.2;
  net.nodes[3].reset();
  for (int k = 0; k < 300; ++k)
    net.facts[0][{FactKind::backend_ladder, "w" + std::to_string(k)}].figures["share"] = 0.5;
  net.run(8);
  EXPECT_TRUE(net.matches(1, 0));
  EXPECT_TRUE(net.matches(2, 0));
  for (int round = 0; round < 50; ++round) {
    for (int k = 0; k < 5; ++k)
      net.facts[0][{FactKind::backend_ladder, "w" + std::to_string(net.rng() % 400)}].figures["share"] =
          round / 100.0;
    net.facts[0].erase({FactKind::backend_ladder, "w" + std::to_string(net.rng() % 400)});
    net.run(0.1);
  }
  net.start(3, 1);
  net.run(10);
  for (const std::size_t k : {1U, 2U, 3U}) EXPECT_TRUE(net.matches(k, 0)) << k;
}

TEST(Replication, ALaterGenerationReplacesTheReplica) {
  SimulatedNetwork net{3};
  net.facts[0][{FactKind::hold, "a"}].figures["on"] = 1;
  net.run(2);
  ASSERT_TRUE(net.matches(1, 0));
  net.facts[0].clear();
  net.facts[0][{FactKind::usual_rate, "g"}].figures["rate"] = 3;
  net.start(0, 2);
  net.run(3);
  EXPECT_TRUE(net.matches(1, 0));
  EXPECT_TRUE(net.matches(2, 0));
}

TEST(Replication, RejectsBatchesThatWereQueuedForTooLong) {
  SimulatedNetwork net{2};
  net.facts[0][{FactKind::zone_ladder, "a"}].figures["share"] = 0.3;
  net.run(2);
  ASSERT_TRUE(net.matches(1, 0));
  // Member 1 is paused for 30 s; the messages of that time are queued and reach it all at once.
  auto paused = std::move(net.nodes[1]);
  std::multimap<double, Message> queued;
  net.facts[0][{FactKind::zone_ladder, "a"}].figures["share"] = 0.1;
  for (int k = 0; k < 300; ++k) {
    net.run(0.1);
    for (const auto& [when, message] : net.in_flight)
      if (message.to == id(1)) queued.emplace(when, message);
  }
  net.nodes[1] = std::move(paused);
  net.in_flight.clear();
  const auto stale_before = net.nodes[1]->counters().stale;
  for (const auto& [when, message] : queued) net.nodes[1]->receive(net.local(1), message);
  EXPECT_GT(net.nodes[1]->counters().stale, stale_before);
  const auto& replica = net.nodes[1]->replicas().at(id(0));
  EXPECT_EQ(replica.log.entries().at({FactKind::zone_ladder, "a"}).fact.figures.at("share"), 0.3)
      << "the earlier value, and its age is known";
  EXPECT_GT((net.local(1) - *replica.confirmed).seconds(), 25);
  net.run(2);
  EXPECT_TRUE(net.matches(1, 0));
}

TEST(Replication, ClocksAreNeverComparedAndTimesAreConvertedOnReceipt) {
  SimulatedNetwork net{2};
  net.offset = {5000, 10};
  net.facts[0][{FactKind::cold_start, "w"}].times["started"] = Instant::at_seconds(4990);
  net.run(1.5);
  const auto& replica = net.nodes[1]->replicas().at(id(0));
  const auto started = replica.log.entries().at({FactKind::cold_start, "w"}).fact.times.at("started");
  EXPECT_NEAR((started - Instant{}).seconds(), 0, 0.1)
      << "ten seconds before the start on the reader's clock";
  EXPECT_LE(*replica.confirmed, net.local(1));
}

TEST(Replication, AFactTooLargeForAMessageDelaysNoOthers) {
  SimulatedNetwork net{2};
  for (int k = 0; k < 500; ++k)
    net.facts[0][{FactKind::table_lines, "0/1"}].figures["worker-" + std::to_string(k)] = k;
  net.facts[0][{FactKind::zone_ladder, "a"}].figures["share"] = 0.3;
  net.run(2);
  EXPECT_TRUE(net.nodes[1]->replicas().at(id(0)).log.entries().contains({FactKind::zone_ladder, "a"}));
  EXPECT_GT(net.nodes[0]->counters().oversized, 0U);
}

TEST(Replication, AGroupUsesItsLeadersTableOnlyWhileThatIsInContact) {
  SimulatedNetwork net{3};
  net.facts[1][{FactKind::group_table, "g"}].figures["table"] = 2;
  net.facts[1][{FactKind::table_lines, "2/0"}].figures = {{"w1", 0.5}};
  net.facts[1][{FactKind::table_lines, "2/7"}].figures = {{"w7", 1}};
  net.facts[1][{FactKind::table_lines, "21/7"}].figures = {{"w9", 1}};
  net.facts[1][{FactKind::table_levels, "2"}].figures = {{"level read", 0.7}, {"tries read", 2}};
  net.run(2);
  const auto table = leader_table(net.nodes[0]->replicas(), "g", net.local(0));
  ASSERT_TRUE(table);
  EXPECT_EQ(table->weights, (std::map<std::string, double>{{"w1", 0.5}, {"w7", 1}}));
  EXPECT_EQ(table->levels.at("read"), (std::pair{2, 0.7}));
  EXPECT_FALSE(leader_table(net.nodes[0]->replicas(), "h", net.local(0)));
  net.nodes[1].reset();
  net.run(5);
  EXPECT_FALSE(leader_table(net.nodes[0]->replicas(), "g", net.local(0)));
}

}  // namespace
}  // namespace gorsemount::cluster

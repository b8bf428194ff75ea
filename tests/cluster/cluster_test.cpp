// Coordinators under a virtual clock: membership converges and no two leases overlap, under crashes, pauses,
// network partitions, loss and clock drift. A failure names its seed; GORSEMOUNT_SEED runs that seed alone.
#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <memory>

#include "cluster/frame_codec.hpp"
#include "cluster/leases.hpp"
#include "cluster/membership.hpp"

namespace gorsemount::cluster {
namespace {

MemberId id(std::size_t k) { return MemberId{static_cast<std::uint16_t>(k)}; }

// Simulates true time, and for each coordinator a local clock with its own rate and offset.
class SimulatedCluster {
 public:
  struct Node {
    std::unique_ptr<Membership> members;
    std::unique_ptr<Leases> leases;
    double rate = 1, offset = 0;
    bool up = true, paused = false;
    std::deque<Message> queued;  // messages received while paused
  };

  // `assumed_drift`: the bound that the members are configured with, never below the true `drift`.
  SimulatedCluster(std::size_t n, std::size_t shards, std::uint64_t seed, double drift = 0,
                   double assumed_drift = 0.001)
      : rng{static_cast<std::uint32_t>(seed)},
        shards_{shards},
        drift_{drift},
        assumed_drift_{std::max(drift, assumed_drift)},
        nodes(n) {
    for (std::size_t k = 0; k < n; ++k) {
      nodes[k].rate = 1 + drift * (2.0 * uniform() - 1) / 2;
      nodes[k].offset = 1000 * uniform();
      start(k);
    }
  }
  double uniform() { return std::uniform_real_distribution<>{}(rng); }
  Instant local(std::size_t k) const { return Instant::at_seconds(nodes[k].offset + nodes[k].rate * now); }

  void start(std::size_t k) {
    std::vector<MemberId> others;
    for (std::size_t j = 0; j < nodes.size(); ++j)
      if (j != k) others.push_back(id(j));
    nodes[k].members = std::make_unique<Membership>(id(k), others, MembershipSettings{}, rng(), local(k));
    LeaseSettings s;
    s.cluster_size = nodes.size(), s.max_clock_drift = without_margins ? -0.6 : assumed_drift_;
    nodes[k].leases = std::make_unique<Leases>(id(k), others, shards_, s, local(k),
                                               Term{static_cast<std::uint64_t>(1000 * now)});
    nodes[k].up = true, nodes[k].paused = false, nodes[k].queued.clear();
  }
  void kill(std::size_t k) { nodes[k].up = false, nodes[k].queued.clear(); }

  void deliver(const Message& m) {
    const std::size_t a = m.from.value, b = m.to.value;
    ++sent;
    if (blocked.contains({a, b}) || uniform() < loss) return;
    // Most messages arrive soon and some late, so that they may be reordered.
    const double after =
        0.001 + (uniform() < 0.05 ? 0.3 : 0.004) * uniform() + (slow.contains({a, b}) ? 0.2 : 0);
    in_flight.emplace(now + after, m);
  }
  void step(std::size_t k) {
    Node& n = nodes[k];
    const Instant t = local(k);
    for (auto& m : n.members->tick(t)) deliver(m);
    for (auto& m : n.leases->tick(t, n.members->alive())) {
      m.updates = n.members->updates();
      deliver(m);
    }
  }
  void handle(std::size_t k, const Message& m) {
    Node& n = nodes[k];
    n.members->receive(local(k), m);
    n.leases->receive(local(k), m);
  }
  // Each shard has at most one leader, and its terms only grow.
  void check_safety() {
    for (std::size_t shard = 0; shard < shards_; ++shard) {
      const ShardId s{static_cast<std::uint16_t>(shard)};
      int leaders = 0;
      for (std::size_t k = 0; k < nodes.size(); ++k) {
        // A paused member issues nothing, but it counts as a leader while its lease is valid.
        if (!nodes[k].up) continue;
        const auto term = nodes[k].leases->held_term(s, local(k));
        if (!term) continue;
        ++leaders;
        auto& last = last_leaders_[shard];
        if (!without_margins) {
          EXPECT_GE(*term, last.first) << "a term decreased";
        }
        if (*term == last.first) {
          EXPECT_EQ(last.second, k) << "two leaders with the same term";
        }
        last = {*term, k};
      }
      if (leaders > 1) ++overlaps;
      if (!without_margins) {
        EXPECT_LE(leaders, 1) << "two leaders of shard " << shard << " at " << now;
      }
      leaderless_seconds[shard] = leaders == 0 ? leaderless_seconds[shard] + kStep : 0;
    }
  }
  void run(double seconds) {
    for (const double end = now + seconds; now < end;) {
      now += kStep;
      while (!in_flight.empty() && in_flight.begin()->first <= now) {
        const Message m = in_flight.begin()->second;
        in_flight.erase(in_flight.begin());
        Node& to = nodes[m.to.value];
        if (!to.up) continue;
        if (to.paused) {
          to.queued.push_back(m);
        } else {
          handle(m.to.value, m);
        }
      }
      for (std::size_t k = 0; k < nodes.size(); ++k) {
        if (!nodes[k].up || nodes[k].paused) continue;
        for (; !nodes[k].queued.empty(); nodes[k].queued.pop_front()) handle(k, nodes[k].queued.front());
        step(k);
      }
      check_safety();
      if (::testing::Test::HasFailure()) return;
    }
  }
  [[nodiscard]] std::size_t led_shards() const {
    std::size_t n = 0;
    for (std::size_t shard = 0; shard < shards_; ++shard)
      for (std::size_t k = 0; k < nodes.size(); ++k)
        n += nodes[k].up && nodes[k].leases->held_term(ShardId{static_cast<std::uint16_t>(shard)}, local(k))
                 ? 1
                 : 0;
    return n;
  }
  void isolate(std::size_t k, bool both = true) {
    for (std::size_t j = 0; j < nodes.size(); ++j) {
      blocked.insert({k, j});
      if (both) blocked.insert({j, k});
    }
  }

  static constexpr double kStep = 0.01;
  std::mt19937 rng;
  double now = 0, loss = 0;
  bool without_margins = false;  // from the next start on, leases outlast the voters' promises
  int overlaps = 0;
  std::set<std::pair<std::size_t, std::size_t>> blocked, slow;
  std::multimap<double, Message> in_flight;
  std::map<std::size_t, double> leaderless_seconds;
  std::uint64_t sent = 0;

 private:
  std::size_t shards_;
  double drift_;
  double assumed_drift_;

 public:
  std::vector<Node> nodes;

 private:
  std::map<std::size_t, std::pair<Term, std::size_t>> last_leaders_;
};

TEST(Membership, ADeadMemberIsSoonGoneForAllAtAnyClusterSize) {
  for (const std::size_t n : {3U, 5U, 15U, 50U}) {
    SimulatedCluster cluster{n, 0, 7};
    cluster.run(3);
    cluster.kill(1);
    double all_gone = 0;
    for (double t = 0; t < 30 && all_gone == 0; t += 0.1) {
      cluster.run(0.1);
      bool all = true;
      for (std::size_t k = 0; k < n; ++k)
        all = all && (k == 1 || cluster.nodes[k].members->state_of(id(1)) == MemberState::gone);
      if (all) all_gone = t;
    }
    EXPECT_GT(all_gone, 0);
    // Bound: two rounds of pings until it is pinged, the suspicion timeout, and the spread of the update.
    EXPECT_LT(all_gone, 0.2 * (2 * static_cast<double>(n) + 4 * std::log2(static_cast<double>(n)) + 12)) << n;
    for (std::size_t k = 0; k < n; ++k)
      for (std::size_t j = 0; j < n; ++j)
        if (k != 1 && j != 1) {
          EXPECT_EQ(cluster.nodes[k].members->state_of(id(j)), MemberState::alive);
        }
    cluster.start(1);
    cluster.run(0.2 * 4 * static_cast<double>(n) + 4);
    for (std::size_t k = 0; k < n; ++k)
      EXPECT_EQ(cluster.nodes[k].members->state_of(id(1)), MemberState::alive) << n << " " << k;
  }
}

TEST(Membership, OneFailedPathMarksNobodyAsGone) {
  SimulatedCluster cluster{5, 0, 3};
  cluster.run(2);
  cluster.blocked = {{0, 1}, {1, 0}};
  cluster.run(30);
  for (std::size_t k = 0; k < 5; ++k) EXPECT_EQ(cluster.nodes[k].members->alive().size(), 5U);
}

TEST(Membership, AMemberThatReceivesButCannotSendIsGone) {
  SimulatedCluster cluster{5, 0, 3};
  cluster.run(2);
  cluster.isolate(2, false);
  cluster.run(15);
  for (const std::size_t k : {0U, 1U, 3U, 4U})
    EXPECT_EQ(cluster.nodes[k].members->state_of(id(2)), MemberState::gone);
  cluster.blocked.clear();
  cluster.run(15);
  for (std::size_t k = 0; k < 5; ++k) EXPECT_EQ(cluster.nodes[k].members->alive().size(), 5U);
}

TEST(Membership, TenPercentLossMarksNobodyAsGone) {
  SimulatedCluster cluster{15, 0, 9};
  cluster.loss = 0.1;
  cluster.run(60);
  for (std::size_t k = 0; k < 15; ++k) EXPECT_EQ(cluster.nodes[k].members->alive().size(), 15U);
}

TEST(Assignment, IsEvenAndMovesFewShardsWhenAMemberLeaves) {
  std::vector<MemberId> alive;
  for (std::size_t k = 0; k < 5; ++k) alive.push_back(id(k));
  const auto before = assign_leaders(60, alive);
  std::map<MemberId, int> load;
  for (const auto& [shard, member] : before) ++load[member];
  for (const auto& [member, n] : load) EXPECT_LE(n, 13);
  const std::size_t lost = static_cast<std::size_t>(load[id(2)]);
  alive.erase(alive.begin() + 2);
  const auto after = assign_leaders(60, alive);
  std::size_t moved = 0;
  for (const auto& [shard, member] : after) moved += before.at(shard) != member;
  EXPECT_LE(moved, lost + 12) << "the shards of the member that left, and a few for balance";
}

TEST(Leases, EveryShardIsLedAndIsTakenOverAfterItsLeaderCrashes) {
  SimulatedCluster cluster{5, 12, 1};
  cluster.run(6);
  EXPECT_EQ(cluster.led_shards(), 12U);
  cluster.kill(0);
  double longest = 0;
  for (int t = 0; t < 120; ++t) {
    cluster.run(0.1);
    for (const auto& [shard, seconds] : cluster.leaderless_seconds) longest = std::max(longest, seconds);
  }
  EXPECT_EQ(cluster.led_shards(), 12U);
  EXPECT_LT(longest, 3 + 3.5) << "the lease duration, and the time to detect its end";
}

TEST(Leases, APausedLeaderFindsItsLeaseExpiredWhenItResumes) {
  SimulatedCluster cluster{5, 12, 1};
  cluster.run(6);
  std::set<ShardId> led_shards_before;
  for (std::uint16_t s = 0; s < 12; ++s)
    if (cluster.nodes[2].leases->held_term(ShardId{s}, cluster.local(2)))
      led_shards_before.insert(ShardId{s});
  ASSERT_FALSE(led_shards_before.empty());
  cluster.nodes[2].paused = true;
  cluster.run(30);
  EXPECT_EQ(cluster.led_shards(), 12U);
  for (const auto s : led_shards_before)
    EXPECT_FALSE(cluster.nodes[2].leases->held_term(s, cluster.local(2))) << "checked before each command";
  cluster.nodes[2].paused = false;
  cluster.run(10);
  EXPECT_EQ(cluster.led_shards(), 12U);
}

TEST(Leases, AMinorityLosesItsLeasesAndTheMajorityTakesOver) {
  SimulatedCluster cluster{5, 12, 4};
  cluster.run(6);
  for (const std::size_t k : {0U, 1U})
    for (const std::size_t j : {2U, 3U, 4U}) cluster.blocked.insert({k, j}), cluster.blocked.insert({j, k});
  cluster.run(15);
  for (std::uint16_t s = 0; s < 12; ++s)
    for (const std::size_t k : {0U, 1U})
      EXPECT_FALSE(cluster.nodes[k].leases->held_term(ShardId{s}, cluster.local(k)));
  EXPECT_EQ(cluster.led_shards(), 12U);
}

TEST(Leases, ARestartedVoterGrantsNothingForALeaseDuration) {
  SimulatedCluster cluster{3, 4, 2};
  cluster.run(6);
  EXPECT_EQ(cluster.led_shards(), 4U);
  // Two of three restart at once and have lost their promises, while the third may still lead.
  cluster.kill(0), cluster.kill(1);
  cluster.start(0), cluster.start(1);
  cluster.run(15);
  EXPECT_EQ(cluster.led_shards(), 4U);
  for (std::size_t k = 0; k < 3; ++k) cluster.kill(k), cluster.start(k);  // all three at once
  cluster.run(10);
  EXPECT_EQ(cluster.led_shards(), 4U);
}

TEST(Leases, EveryShardIsLedAgainAfterAHandOverAndARestart) {
  SimulatedCluster cluster{3, 3, 2};
  cluster.run(6);
  const ShardId shard{0};
  for (std::size_t k = 0; k < 3; ++k) {
    if (!cluster.nodes[k].leases->held_term(shard, cluster.local(k))) continue;
    cluster.nodes[k].leases->hand_over(cluster.local(k), shard, std::nullopt);
    cluster.nodes[k].members.reset();
    cluster.start(k);  // as in a rolling restart
    break;
  }
  double longest = 0;
  for (int t = 0; t < 100; ++t) {
    cluster.run(0.1);
    longest = std::max(longest, cluster.leaderless_seconds[0]);
  }
  EXPECT_EQ(cluster.led_shards(), 3U);
}

// Injects random faults of all kinds. SimulatedCluster::check_safety asserts safety in every step.
void run_random_faults(std::uint64_t seed) {
  SimulatedCluster cluster{5, 6, seed, 0.02};
  cluster.run(4);
  for (int fault = 0; fault < 14 && !::testing::Test::HasFailure(); ++fault) {
    const std::size_t k = cluster.rng() % 5, j = cluster.rng() % 5;
    switch (cluster.rng() % 8) {
      case 0:
        cluster.kill(k);
        break;
      case 1:
        if (!cluster.nodes[k].up) cluster.start(k);
        break;
      case 2:
        cluster.nodes[k].paused = true;
        break;
      case 3:
        cluster.nodes[k].paused = false;
        break;
      case 4:
        cluster.isolate(k, cluster.rng() % 2 == 0);
        break;
      case 5:
        cluster.blocked.clear();
        break;
      case 6:
        cluster.loss = 0.3 * cluster.uniform();
        break;
      default:
        cluster.slow.insert({k, j});
        break;
    }
    cluster.run(2 * cluster.uniform());
  }
  // Once all faults are repaired, every shard is led again.
  cluster.blocked.clear(), cluster.slow.clear(), cluster.loss = 0;
  for (std::size_t k = 0; k < 5; ++k) {
    cluster.nodes[k].paused = false;
    if (!cluster.nodes[k].up) cluster.start(k);
  }
  cluster.run(14);
  EXPECT_EQ(cluster.led_shards(), 6U);
  if (::testing::Test::HasFailure()) ADD_FAILURE() << "GORSEMOUNT_SEED=" << seed;
}

// Shows that check_safety can fail: it finds two leaders if the voters' promises are shorter than the lease.
TEST(Leases, WithoutTheDriftMarginsTwoLeadersAreFound) {
  SimulatedCluster cluster{5, 6, 3, 0.02};
  cluster.without_margins = true;
  for (std::size_t k = 0; k < 5; ++k) cluster.start(k);
  cluster.run(6);
  for (int round = 0; round < 10 && cluster.overlaps == 0; ++round) {
    cluster.isolate(cluster.rng() % 5);
    cluster.run(6);
    cluster.blocked.clear();
    cluster.run(3);
  }
  EXPECT_GT(cluster.overlaps, 0);
}

TEST(Leases, NeverTwoLeadersUnderRandomFaults) {
  if (const char* one = std::getenv("GORSEMOUNT_SEED"); one != nullptr)
    return run_random_faults(std::strtoull(one, nullptr, 10));
  const char* many = std::getenv("GORSEMOUNT_SEEDS");
  const std::uint64_t seeds = many != nullptr ? std::strtoull(many, nullptr, 10) : 150;
  for (std::uint64_t seed = 1; seed <= seeds && !HasFailure(); ++seed) run_random_faults(seed);
}

Key key(std::uint8_t number) {
  Key k{number, {}};
  k.bytes.fill(static_cast<std::uint8_t>(number + 1));
  return k;
}

std::string dropped(FrameCodec& frames, std::string_view frame) {
  const auto opened = frames.open(frame);
  return std::holds_alternative<DropReason>(opened) ? name_of(std::get<DropReason>(opened)) : "";
}

TEST(FrameCodec, CarriesEveryMessageAndDropsInvalidFrames) {
  FrameCodec a{id(1), 1000, {key(1)}}, b{id(2), 1000, {key(1)}};
  const std::vector<MemberUpdate> updates{{id(7), MemberState::suspected, 9}};
  for (const Body& body :
       std::vector<Body>{Ping{3}, Ack{4}, PingRequest{id(3), 5}, VoteRequest{ShardId{1}, Term{9}, 2},
                         Vote{ShardId{1}, Term{9}, 2, true}, LeaseRelease{ShardId{2}, Term{8}}}) {
    const auto frame = a.seal({id(1), id(2), body, updates});
    EXPECT_EQ(FrameCodec::frame_length(frame), frame.size());
    const auto opened = b.open(frame);
    ASSERT_TRUE(std::holds_alternative<Message>(opened)) << name_of(std::get<DropReason>(opened));
    EXPECT_EQ(std::get<Message>(opened).body.index(), body.index());
    EXPECT_EQ(std::get<Message>(opened).updates, updates);
    EXPECT_EQ(dropped(b, frame), "replayed");
    for (std::size_t cut = 0; cut < frame.size(); ++cut)
      EXPECT_EQ(dropped(b, frame.substr(0, cut)), "cut off");
    for (std::size_t at = 0; at < frame.size(); ++at) {
      auto changed = frame;
      changed[at] = static_cast<char>(changed[at] ^ 0x40);
      EXPECT_NE(dropped(b, changed), "") << "byte " << at;
    }
  }
  EXPECT_EQ(dropped(a, a.seal({id(1), id(2), Ping{1}, {}})), "not for us");
  EXPECT_EQ(dropped(b, std::string(5000, '\x7f')), "too large");
  FrameCodec unknown_sender{id(1), 1000, {key(9)}};
  EXPECT_EQ(dropped(b, unknown_sender.seal({id(1), id(2), Ping{1}, {}})), "unknown key");
  Key forged = key(9);
  forged.number = 1;
  FrameCodec forger{id(1), 1000, {forged}};
  EXPECT_EQ(dropped(b, forger.seal({id(1), id(2), Ping{1}, {}})), "wrong MAC");
}

TEST(FrameCodec, AcceptsReorderedFramesButNoReplayOrEarlierGeneration) {
  FrameCodec a{id(1), 1000, {key(1)}}, b{id(2), 1000, {key(1)}};
  std::vector<std::string> sent;
  for (std::uint64_t k = 0; k < 100; ++k) sent.push_back(a.seal({id(1), id(2), Ping{k}, {}}));
  EXPECT_EQ(dropped(b, sent[70]), "");
  EXPECT_EQ(dropped(b, sent[69]), "");
  EXPECT_EQ(dropped(b, sent[69]), "replayed");
  EXPECT_EQ(dropped(b, sent[5]), "replayed") << "older than the window";
  EXPECT_EQ(dropped(b, sent[99]), "");
  EXPECT_EQ(dropped(b, sent[71]), "");
  FrameCodec restarted{id(1), 2000, {key(1)}};
  EXPECT_EQ(dropped(b, restarted.seal({id(1), id(2), Ping{1}, {}})), "");
  EXPECT_EQ(dropped(b, sent[98]), "replayed") << "from an earlier generation";
}

TEST(FrameCodec, RotatesKeysWithoutDowntimeInSteps) {
  FrameCodec a{id(1), 1, {key(1)}}, b{id(2), 1, {key(1)}};
  b.set_keys({key(1), key(2)});  // b has the new key and signs with it; a does not have it yet
  EXPECT_EQ(dropped(a, b.seal({id(2), id(1), Ping{1}, {}})), "unknown key");
  a.set_keys({key(2), key(1)});  // the new key is accepted everywhere before it signs
  EXPECT_EQ(dropped(a, b.seal({id(2), id(1), Ping{1}, {}})), "");
  EXPECT_EQ(dropped(b, a.seal({id(1), id(2), Ping{1}, {}})), "");
  a.set_keys({key(2)}), b.set_keys({key(2)});
  EXPECT_EQ(dropped(b, a.seal({id(1), id(2), Ping{1}, {}})), "");
}

TEST(Keys, ErrorsNameTheLineAndNeverTheKey) {
  const std::string good(64, 'a');
  EXPECT_EQ(parse_keys("# ring\n1 " + good + "\n\n2 " + good + " # new\n").size(), 2U);
  for (const auto& [text, expected] : std::vector<std::pair<std::string, std::string>>{
           {"", "contains no key"},
           {"1 abc\n", "line 1: expected 64 hex digits"},
           {"x " + good, "line 1"},
           {"1 " + good + "\n1 " + good, "line 2: key 1 appears twice"},
           {"300 " + good, "0 to 255"},
           {"1 " + good + " more", "line 1"},
           {"1 " + std::string(64, 'g'), "64 hex digits"}}) {
    try {
      static_cast<void>(parse_keys(text));
      ADD_FAILURE() << text;
    } catch (const std::runtime_error& error) {
      const std::string message = error.what();
      EXPECT_NE(message.find(expected), std::string::npos) << message;
      EXPECT_EQ(message.find("aaaa"), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace gorsemount::cluster

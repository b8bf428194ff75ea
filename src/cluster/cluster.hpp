// One coordinator's membership, leases and replication in a cluster, and which shard a forwarder belongs to.
#pragma once

#include <algorithm>
#include <string>

#include "cluster/leases.hpp"
#include "cluster/membership.hpp"
#include "cluster/replication.hpp"

namespace gorsemount::cluster {

struct ClusterSettings {
  MemberId self;
  std::vector<MemberId> members;  // all of them, including self
  std::size_t shards = 8;
  MembershipSettings membership;
  LeaseSettings lease;
  std::uint64_t seed = 0;
  Term term_floor;  // see Leases
};

class Cluster {
 public:
  Cluster(const ClusterSettings& settings, Instant now)
      : shards_{settings.shards},
        membership_{settings.self, settings.members, settings.membership, settings.seed, now},
        leases_{settings.self, settings.members,   settings.shards, lease_settings(settings),
                now,           settings.term_floor},
        replication_{settings.self, settings.members, settings.term_floor.value} {}

  void receive(Instant now, const Message& message) {
    membership_.receive(now, message);
    leases_.receive(now, message);
    replication_.receive(now, message);
  }
  [[nodiscard]] std::vector<Message> tick(Instant now) {
    auto messages = membership_.tick(now);
    for (auto& message : leases_.tick(now, membership_.alive())) {
      message.updates = membership_.updates();
      messages.push_back(std::move(message));
    }
    for (auto& message : replication_.tick(now)) messages.push_back(std::move(message));
    return messages;
  }
  [[nodiscard]] Instant wake_at() const {
    return std::min({membership_.wake_at(), leases_.wake_at(), replication_.wake_at()});
  }

  [[nodiscard]] ShardId shard_of(const std::string& forwarder) const;
  [[nodiscard]] std::optional<Term> held_term(ShardId shard, Instant now) const {
    return leases_.held_term(shard, now);
  }
  [[nodiscard]] std::size_t shards() const { return shards_; }
  [[nodiscard]] MemberState state_of(MemberId member) const { return membership_.state_of(member); }
  void suspend_rebalancing(bool on) { leases_.suspend_rebalancing(on); }
  [[nodiscard]] Replication& replication() { return replication_; }
  [[nodiscard]] const Replication& replication() const { return replication_; }
  void observe_term(Instant now, ShardId shard, Term term) { leases_.observe_term(now, shard, term); }
  // Releases every lease that this member holds, for a planned stop. Returns how many there were.
  std::size_t hand_over_all(Instant now);

 private:
  static LeaseSettings lease_settings(const ClusterSettings& settings) {
    LeaseSettings lease = settings.lease;
    lease.cluster_size = settings.members.size();
    return lease;
  }
  std::size_t shards_;
  Membership membership_;
  Leases leases_;
  Replication replication_;
};

}  // namespace gorsemount::cluster

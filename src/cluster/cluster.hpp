// One controller's part in a shared fleet: membership and leases together, and which shard a forwarder is in.
#pragma once

#include <algorithm>
#include <string>

#include "cluster/leases.hpp"
#include "cluster/membership.hpp"
#include "cluster/replication.hpp"

namespace gorsemount::cluster {

struct ClusterSettings {
  MemberId self;
  std::vector<MemberId> members;  // all of them
  std::size_t shards = 8;
  MembershipSettings membership;
  LeaseSettings lease;
  std::uint64_t seed = 0;
  Term term_floor;  // see Leases
};

class Cluster {
 public:
  Cluster(ClusterSettings settings, Instant now)
      : shards_{settings.shards},
        membership_{settings.self, settings.members, settings.membership, settings.seed, now},
        leases_{settings.self, settings.members,   settings.shards, with_members(settings),
                now,           settings.term_floor},
        replication_{settings.self, settings.members, settings.term_floor.value} {}

  void receive(Instant now, const Message& message) {
    membership_.receive(now, message);
    leases_.receive(now, message);
    replication_.receive(now, message);
  }
  [[nodiscard]] std::vector<Message> tick(Instant now) {
    auto out = membership_.tick(now);
    for (auto& m : leases_.tick(now, membership_.alive())) {
      m.updates = membership_.updates();
      out.push_back(std::move(m));
    }
    for (auto& m : replication_.tick(now)) out.push_back(std::move(m));
    return out;
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
  void keep(bool on) { leases_.keep(on); }
  [[nodiscard]] Replication& knowledge() { return replication_; }
  [[nodiscard]] const Replication& knowledge() const { return replication_; }
  void observe_term(Instant now, ShardId shard, Term term) { leases_.observe_term(now, shard, term); }
  // Everything that it leads, to whoever is next; for a planned stop. Returns how many shards that were.
  std::size_t hand_over_all(Instant now);

 private:
  static LeaseSettings with_members(const ClusterSettings& s) {
    LeaseSettings lease = s.lease;
    lease.members = s.members.size();
    return lease;
  }
  std::size_t shards_;
  Membership membership_;
  Leases leases_;
  Replication replication_;
};

}  // namespace gorsemount::cluster

// Decides who leads a shard: a lease of a fixed duration, granted by a majority of all configured members
// (not only of those that seem alive), under a term that only grows. Both ends allow for clock drift: a
// leader counts its lease from when it sent the request and shortens it by the drift, a voter counts its
// promise from when it granted and lengthens it by the drift. docs/takeover.md has the argument.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cluster/messages.hpp"

namespace gorsemount::cluster {

struct LeaseSettings {
  Span duration = Span::seconds(3);
  double max_clock_drift = 0.01;         // largest relative difference between the rates of any two clocks
  Span renew_before = Span::seconds(2);  // remaining time at which a leader starts to renew
  Span retry_interval = Span::seconds(0.3);
  std::size_t cluster_size = 1;  // configured members; a majority is counted against this
};

// Which of the members alive should lead a shard. Uses rendezvous hashing, so that only the shards of a
// member that leaves move.
[[nodiscard]] MemberId preferred_leader(ShardId shard, const std::vector<MemberId>& alive);
// Assigns every shard its preferred leader, except that no member gets more than one shard above an even
// share; excess shards go to the member with the next highest hash.
[[nodiscard]] std::map<ShardId, MemberId> assign_leaders(std::size_t shards,
                                                         const std::vector<MemberId>& alive);

class Leases {
 public:
  // `term_floor`: every term of this member is above it. It comes from persistent state or from the wall
  // clock (milliseconds, far ahead of any count of elections), so that terms grow even if all members restart
  // at once; observe_term() corrects for a wall clock that was set back. A voter grants nothing for one lease
  // duration after it starts, since it may have made a promise before its restart.
  Leases(MemberId self, std::vector<MemberId> others, std::size_t shards, LeaseSettings settings, Instant now,
         Term term_floor);

  // Notes that a forwarder has seen this term. The forwarder rejects lower terms, so a leader with a lower
  // one gives up its lease and seeks election under a higher term.
  void observe_term(Instant now, ShardId shard, Term term);

  void receive(Instant now, const Message& message);
  // Returns the messages to send. `alive`: from the membership.
  [[nodiscard]] std::vector<Message> tick(Instant now, const std::vector<MemberId>& alive);
  [[nodiscard]] Instant wake_at() const;

  // The term under which this member may issue commands now; empty if it holds no valid lease. Called with
  // the current time before each command, so that a process that was paused finds its lease expired.
  [[nodiscard]] std::optional<Term> held_term(ShardId shard, Instant now) const;
  [[nodiscard]] Term highest_term(ShardId shard) const;
  // Releases the lease of a shard in favour of `to`: issues no further commands in the shard, and doesn't
  // seek election there for a while.
  void hand_over(Instant now, ShardId shard, std::optional<MemberId> to);
  // While on, no shard moves for balance, so that zone drains are not disturbed. Otherwise one shard may move
  // per lease duration.
  void suspend_rebalancing(bool on) { rebalancing_suspended_ = on; }

 private:
  struct Promise {  // as a voter
    Term term;
    MemberId holder;
    Instant until;
  };
  struct HeldLease {  // as a leader
    Term term;
    Instant until;
  };
  struct VoteRound {
    Term term;
    std::uint64_t request_id = 0;
    Instant sent, retry_at;
    std::set<MemberId> granted;
    bool renewal = false;
  };
  void send(MemberId to, Body body);
  [[nodiscard]] bool grant(Instant now, ShardId shard, Term term, MemberId to);
  void acquire(ShardId shard, const VoteRound& round);
  void start_vote_round(Instant now, ShardId shard, bool renewal);

  MemberId self_;
  std::vector<MemberId> peers_;
  std::size_t shards_;
  LeaseSettings settings_;
  Instant no_votes_before_;
  std::uint64_t last_request_id_ = 0;
  bool rebalancing_suspended_ = false;
  std::map<ShardId, Promise> promises_;
  std::map<ShardId, HeldLease> held_leases_;
  std::map<ShardId, VoteRound> vote_rounds_;
  std::map<ShardId, Term> highest_terms_;
  Instant next_rebalance_;
  std::map<ShardId, std::pair<std::optional<MemberId>, Instant>> handed_over_;  // to whom, and until when
  std::vector<Message> outbox_;
  Instant wake_at_;
};

}  // namespace gorsemount::cluster

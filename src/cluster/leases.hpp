// Decides who leads a shard: a lease of stated length, granted by a majority of all members by the settings
// (not of those that seem alive), with a term that only grows. What makes it safe is time at both ends: a
// leader reckons its lease from when it asked, shortened by the drift; a voter keeps its word from when it
// granted, lengthened by it. docs/takeover.md has the argument.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cluster/messages.hpp"

namespace gorsemount::cluster {

struct LeaseSettings {
  Span duration = Span::seconds(3);
  double max_clock_drift = 0.01;         // how far any two clocks' rates may be apart
  Span renew_before = Span::seconds(2);  // the end: asked for again from then on
  Span retry_interval = Span::seconds(0.3);
  std::size_t members = 1;  // by the settings; a majority is of these
};

// Which member is to lead a shard among those alive: rendezvous hashing, so that a member's going moves its
// own shards and no others.
[[nodiscard]] MemberId preferred(ShardId shard, const std::vector<MemberId>& alive);
// The same with at most one shard more than its part for each member; what is over goes to the next
// preferred.
[[nodiscard]] std::map<ShardId, MemberId> assignment(std::size_t shards, const std::vector<MemberId>& alive);

class Leases {
 public:
  // `floor`: no term of its own is at or below it. It comes from what outlives the process, or from the wall
  // clock (milliseconds, far ahead of any count of elections), so that terms grow even if all members restart
  // at once; observe_term() mends a clock that went back. A voter that starts grants nothing for a lease's
  // length, since it may have given its word to somebody before.
  Leases(MemberId self, std::vector<MemberId> others, std::size_t shards, LeaseSettings settings, Instant now,
         Term term_floor);

  // A forwarder has seen this term: nothing lower will be obeyed, so a leader with a lower one stands back
  // and is elected anew above it.
  void observe_term(Instant now, ShardId shard, Term term);

  void receive(Instant now, const Message& message);
  // `alive`: as the membership has it. Messages to send.
  [[nodiscard]] std::vector<Message> tick(Instant now, const std::vector<MemberId>& alive);
  [[nodiscard]] Instant wake_at() const;

  // The term with which it may order now; empty: it may not. A process that stood still finds out here, since
  // the time is asked for with each order.
  [[nodiscard]] std::optional<Term> held_term(ShardId shard, Instant now) const;
  [[nodiscard]] Term highest(ShardId shard) const;
  // Hands a shard over: it orders nothing more in it from now on, and leaves it to `to` for a while.
  void hand_over(Instant now, ShardId shard, std::optional<MemberId> to);
  // While on, no shard changes hands for the sake of balance; for zones that are being drained. Off, one a
  // lease's length does.
  void keep(bool on) { keep_ = on; }

 private:
  struct Promise {  // as a voter
    Term term;
    MemberId holder;
    Instant until;
  };
  struct Held {  // as a leader
    Term term;
    Instant until;
  };
  struct Asking {
    Term term;
    std::uint64_t number = 0;
    Instant sent, again;
    std::set<MemberId> granted;
    bool renewal = false;
  };
  void send(MemberId to, Body body);
  [[nodiscard]] bool grant(Instant now, ShardId shard, Term term, MemberId to);
  void won(ShardId shard, const Asking& asking);
  void ask(Instant now, ShardId shard, bool renewal);

  MemberId self_;
  std::vector<MemberId> others_;
  std::size_t shards_;
  LeaseSettings s_;
  Instant silent_until_;
  std::uint64_t number_ = 0;
  bool keep_ = false;
  std::map<ShardId, Promise> promises_;
  std::map<ShardId, Held> held_;
  std::map<ShardId, Asking> asking_;
  std::map<ShardId, Term> highest_;
  Instant next_move_;                                                      // for balance
  std::map<ShardId, std::pair<std::optional<MemberId>, Instant>> handed_;  // to whom, and for how long
  std::vector<Message> out_;
  Instant wake_;
};

}  // namespace gorsemount::cluster

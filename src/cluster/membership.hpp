// Decides which members are alive, by the SWIM protocol: each member pings the others in turn. If one does
// not answer, other members ping it too, so that a single failed path marks nobody as gone. Without any
// answer it is suspected, and after a timeout gone unless it refutes that with a new incarnation.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "cluster/messages.hpp"

namespace gorsemount::cluster {

struct MembershipSettings {
  Span ping_interval = Span::seconds(0.2);
  Span ping_timeout = Span::seconds(0.08);  // before other members are asked to ping
  int relays = 3;                           // members that are asked
  int suspicion_multiplier = 4;  // the suspicion timeout is this times ping_interval times log2 of the size
};

class Membership {
 public:
  Membership(MemberId self, std::vector<MemberId> others, MembershipSettings settings, std::uint64_t seed,
             Instant now);

  void receive(Instant now, const Message& message);
  // Does what is due and returns the messages to send. To be called at wake_at() and after each receive().
  [[nodiscard]] std::vector<Message> tick(Instant now);
  [[nodiscard]] Instant wake_at() const;

  [[nodiscard]] MemberState state_of(MemberId member) const;
  [[nodiscard]] std::vector<MemberId> alive() const;  // sorted, including self
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  // Gossip to piggyback on another module's message.
  [[nodiscard]] std::vector<MemberUpdate> updates();
  void apply_updates(Instant now, const std::vector<MemberUpdate>& updates);

  // Replaces the configured list of members; gossip never adds or removes one.
  void set_members(Instant now, std::vector<MemberId> others);

 private:
  struct MemberRecord {
    MemberState state = MemberState::alive;
    std::uint64_t incarnation = 0;
    Instant changed_at;
    int retransmits_left = 0;  // how often its update is still to be sent
  };
  struct Probe {
    MemberId target;
    std::uint64_t request_id = 0;
    Instant sent, deadline;
    bool indirect_sent = false;
  };
  struct RelayedPing {  // a ping sent on request of another member
    MemberId requester;
    std::uint64_t requester_request_id = 0, request_id = 0;
    Instant until;
  };
  void send(MemberId to, Body body);
  void queue_update(MemberId member);  // gossips its state from the start again
  [[nodiscard]] int retransmit_limit() const;
  [[nodiscard]] Span suspicion_timeout() const;

  MemberId self_;
  MembershipSettings settings_;
  std::mt19937 rng_;
  std::uint64_t incarnation_ = 1, last_request_id_ = 0;
  int self_retransmits_left_ = 0;
  std::map<MemberId, MemberRecord> records_;
  std::vector<MemberId> ping_order_;  // shuffled for each round
  std::size_t next_index_ = 0;
  Instant next_ping_;
  std::optional<Probe> probe_;
  std::vector<RelayedPing> relayed_pings_;
  std::vector<Message> outbox_;
};

}  // namespace gorsemount::cluster

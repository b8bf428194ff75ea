// The messages that coordinators of a cluster exchange, and the ids in them. No I/O, no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace gorsemount::cluster {

using MemberId = Id<struct MemberTag, std::uint16_t>;
using ShardId = Id<struct ShardTag, std::uint16_t>;
// A fencing token: of two members that both believe they lead a shard, the one with the higher term was
// elected later.
using Term = Id<struct TermTag, std::uint64_t>;

enum class MemberState : std::uint8_t { alive = 0, suspected = 1, gone = 2 };

// A gossiped statement about a member. Only the member itself raises its incarnation; within one incarnation
// the worse state overrides.
struct MemberUpdate {
  MemberId member;
  MemberState state = MemberState::alive;
  std::uint64_t incarnation = 0;
  auto operator<=>(const MemberUpdate&) const = default;
};

struct Ping {
  std::uint64_t request_id = 0;
};
struct Ack {
  std::uint64_t request_id = 0;
};
// Asks the receiver to ping `target` and to forward its Ack.
struct PingRequest {
  MemberId target;
  std::uint64_t request_id = 0;
};
struct VoteRequest {
  ShardId shard;
  Term term;
  std::uint64_t request_id = 0;  // of the vote round, so that late votes don't count in another round
};
struct Vote {
  ShardId shard;
  Term term;  // the granted term, or the highest that the voter has seen
  std::uint64_t request_id = 0;
  bool granted = false;
};
struct LeaseRelease {  // the leader ends its lease early
  ShardId shard;
  Term term;
};
// Entries of the sender's fact log (recovery/codec.hpp) after sequence `from`, up to and including `up_to`.
// Times in `facts` are relative to when the batch was encoded.
struct ReplicationBatch {
  std::uint64_t generation = 0;  // of the sender's process
  std::uint64_t from = 0, up_to = 0, last = 0;
  // The receiver's own clock from its last ReplicationAck, which bounds the age of this batch; microseconds,
  // 0 before the first one.
  std::int64_t echoed_clock = 0;
  std::string facts;
};
struct ReplicationAck {
  std::uint64_t generation = 0, up_to = 0;  // of the log that is acknowledged
  std::int64_t clock = 0;                   // of the acknowledging member, microseconds
};
using Body =
    std::variant<Ping, Ack, PingRequest, VoteRequest, Vote, LeaseRelease, ReplicationBatch, ReplicationAck>;

struct Message {
  MemberId from, to;
  Body body;
  std::vector<MemberUpdate> updates;  // gossip that any message carries
};

}  // namespace gorsemount::cluster

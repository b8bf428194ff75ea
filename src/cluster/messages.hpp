// What controllers say to each other, and what they call each other. No I/O, no clock.
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
// A fencing token: of two that believe to lead a shard, the one with the higher term is the later one.
using Term = Id<struct TermTag, std::uint64_t>;

enum class MemberState : std::uint8_t { alive = 0, suspected = 1, gone = 2 };

// What is said of a member. Only the member itself raises its incarnation; of one incarnation the worse
// counts.
struct MemberUpdate {
  MemberId member;
  MemberState standing = MemberState::alive;
  std::uint64_t incarnation = 0;
  auto operator<=>(const MemberUpdate&) const = default;
};

struct Ping {
  std::uint64_t number = 0;
};
struct Ack {
  std::uint64_t number = 0;
};
// "Ask `of` for me, and tell me if it answers."
struct PingFor {
  MemberId of;
  std::uint64_t number = 0;
};
struct AskVote {
  ShardId shard;
  Term term;
  std::uint64_t number = 0;  // of the round, so that late votes don't count for another
};
struct Vote {
  ShardId shard;
  Term term;  // granted, or the highest that the voter has seen
  std::uint64_t number = 0;
  bool granted = false;
};
struct GiveUp {  // the leader hands its lease back before its end
  ShardId shard;
  Term term;
};
// Facts of the sender's log (recovery/codec.hpp) from one sequence to another; times in them count from when
// this was written. `echo`: the receiver's own clock as it last told it, so that it can bound how old this
// is.
struct ReplicationBatch {
  std::uint64_t start = 0;  // of the sender's life
  std::uint64_t from = 0, upto = 0, last = 0;
  std::int64_t echo = 0;  // micros; 0: it was never told
  std::string facts;
};
struct Heard {
  std::uint64_t start = 0, upto = 0;  // of the sender's log that is answered
  std::int64_t at = 0;                // the answerer's clock, micros
};
using Body = std::variant<Ping, Ack, PingFor, AskVote, Vote, GiveUp, ReplicationBatch, Heard>;

struct Message {
  MemberId from, to;
  Body body;
  std::vector<MemberUpdate> updates;  // on every message, a few
};

}  // namespace gorsemount::cluster

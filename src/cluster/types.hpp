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

enum class Standing : std::uint8_t { alive = 0, suspected = 1, gone = 2 };

// What is said of a member. Only the member itself raises its incarnation; of one incarnation the worse counts.
struct Rumour {
  MemberId member;
  Standing standing = Standing::alive;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Rumour&) const = default;
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
using Body = std::variant<Ping, Ack, PingFor, AskVote, Vote, GiveUp>;

struct Message {
  MemberId from, to;
  Body body;
  std::vector<Rumour> rumours;  // on every message, a few
};

}  // namespace gorsemount::cluster

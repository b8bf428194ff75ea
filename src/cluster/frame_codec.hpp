// Messages between controllers as bytes, each with a keyed MAC (libsodium, HMAC-SHA-512-256) over all of it.
// Keys have numbers, so that they rotate without a stop: any key of the ring is accepted, the newest is used.
// A counter that only grows for each sender and its start keeps replayed frames out.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/messages.hpp"

namespace gorsemount::cluster {

inline constexpr std::size_t kFrameMost = 4096;  // bytes, with its length; no honest message comes near

struct Key {
  std::uint8_t number = 0;
  std::array<std::uint8_t, 32> bytes{};
};

// Why a frame was dropped; named once a peer in the log, and counted.
enum class Drop { too_large, cut_off, unknown_key, wrong_mac, replayed, not_for_us, garbled };
[[nodiscard]] const char* name_of(Drop drop);

// A key file: lines of `NUMBER HEX`, 64 hex digits each; the last line is the newest key. Comments begin with
// #. Throws std::runtime_error with the line if it is none, or if a number is there twice.
[[nodiscard]] std::vector<Key> parse_keys(std::string_view text);

class FrameCodec {
 public:
  // `start`: differs between two lives of a member, and grows (the wall clock's milliseconds). Throws
  // std::runtime_error without a key.
  FrameCodec(MemberId self, std::uint64_t start, std::vector<Key> ring);

  void set_keys(std::vector<Key> ring);  // the last one seals; all of them open
  [[nodiscard]] std::string seal(const Message& message);
  // Of a whole frame, its length included. A frame is taken once.
  [[nodiscard]] std::variant<Message, Drop> open(std::string_view frame);
  // How long a frame is that begins with these bytes; empty: too few to tell. A length over kFrameMost is for
  // open() to drop.
  [[nodiscard]] static std::optional<std::size_t> length(std::string_view bytes);

 private:
  MemberId self_;
  std::uint64_t start_, counter_ = 0;
  std::vector<Key> ring_;
  // Of each sender, its newest start and the frames of it that were seen: streams keep order, but a member
  // may hold two streams for a moment, so a window is kept and not one number.
  struct Seen {
    std::uint64_t start = 0, highest = 0, window = 0;  // window: bit k: highest - k was seen
  };
  std::map<MemberId, Seen> seen_;
};

}  // namespace gorsemount::cluster

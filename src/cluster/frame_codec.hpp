// Encodes messages between coordinators as frames, each with a keyed MAC (libsodium, HMAC-SHA-512-256) over
// the whole frame. Keys are numbered, so that they can be rotated without downtime: any key of the set is
// accepted and the newest one signs. A counter that only grows within each sender's generation rejects
// replayed frames.
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

// Includes the length prefix; well above the size of any valid message.
inline constexpr std::size_t kMaxFrameBytes = 4096;

struct Key {
  std::uint8_t number = 0;
  std::array<std::uint8_t, 32> bytes{};
};

// Why a frame was dropped; logged once per peer and reason, and counted.
enum class DropReason { too_large, cut_off, unknown_key, wrong_mac, replayed, not_for_us, garbled };
[[nodiscard]] const char* name_of(DropReason reason);

// Parses a key file: lines of `NUMBER HEX` with 64 hex digits each, the newest key last; # begins a comment.
// Throws std::runtime_error that names the line if it is malformed or repeats a number.
[[nodiscard]] std::vector<Key> parse_keys(std::string_view text);

class FrameCodec {
 public:
  // `generation`: grows with each start of a member (its wall clock in milliseconds). Throws
  // std::runtime_error if there is no key.
  FrameCodec(MemberId self, std::uint64_t generation, std::vector<Key> keys);

  void set_keys(std::vector<Key> keys);  // the last one signs; all of them verify
  [[nodiscard]] std::string seal(const Message& message);
  // Takes a whole frame, its length prefix included. A frame is accepted only once.
  [[nodiscard]] std::variant<Message, DropReason> open(std::string_view frame);
  // The length of the frame that begins with these bytes; empty if there are too few to tell. May exceed
  // kMaxFrameBytes; open() drops such a frame.
  [[nodiscard]] static std::optional<std::size_t> frame_length(std::string_view bytes);

 private:
  MemberId self_;
  std::uint64_t generation_, counter_ = 0;
  std::vector<Key> keys_;
  // The newest generation of a sender and which of its frames were received. A window rather than a single
  // counter: each stream keeps its order, but a member may briefly have two streams.
  struct Sender {
    std::uint64_t generation = 0, highest = 0, window = 0;  // window bit k: frame highest - k was received
  };
  std::map<MemberId, Sender> senders_;
};

}  // namespace gorsemount::cluster

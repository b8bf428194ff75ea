#include "cluster/frame_codec.hpp"

#include <sodium.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace gorsemount::cluster {

namespace {

// length u16 | key u8 | to u16 | from u16 | generation u64 | counter u64 | kind u8 | body | update count u8 |
// updates of 11 bytes each | MAC
constexpr std::size_t kMacBytes = crypto_auth_hmacsha512256_BYTES;
constexpr std::size_t kHeaderBytes = 2 + 1 + 2 + 2 + 8 + 8 + 1;
constexpr std::size_t kMaxUpdates = 64;
constexpr std::uint64_t kReplayWindowFrames = 64;

class Writer {
 public:
  template <class Int>
  void put(Int value) {
    for (std::size_t k = sizeof value; k-- > 0;)
      bytes.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> 8U * k));
  }
  std::string bytes;
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_{bytes} {}
  template <class Int>
  Int get() {
    if (bytes_.size() < sizeof(Int)) {
      failed_ = true;
      return Int{};
    }
    std::uint64_t value = 0;
    for (std::size_t k = 0; k < sizeof(Int); ++k) value = value << 8U | static_cast<std::uint8_t>(bytes_[k]);
    bytes_.remove_prefix(sizeof(Int));
    return static_cast<Int>(value);
  }
  std::string text(std::size_t size) {
    if (bytes_.size() < size) {
      failed_ = true;
      return {};
    }
    std::string result{bytes_.substr(0, size)};
    bytes_.remove_prefix(size);
    return result;
  }
  [[nodiscard]] bool complete() const { return !failed_ && bytes_.empty(); }
  [[nodiscard]] bool failed() const { return failed_; }

 private:
  std::string_view bytes_;
  bool failed_ = false;
};

void put_body(Writer& out, const Body& body) {
  out.put(static_cast<std::uint8_t>(body.index()));
  if (const auto* ping = std::get_if<Ping>(&body)) out.put(ping->request_id);
  if (const auto* ack = std::get_if<Ack>(&body)) out.put(ack->request_id);
  if (const auto* ping_request = std::get_if<PingRequest>(&body))
    out.put(ping_request->target.value), out.put(ping_request->request_id);
  if (const auto* vote_request = std::get_if<VoteRequest>(&body))
    out.put(vote_request->shard.value), out.put(vote_request->term.value), out.put(vote_request->request_id);
  if (const auto* vote = std::get_if<Vote>(&body)) {
    out.put(vote->shard.value), out.put(vote->term.value), out.put(vote->request_id);
    out.put(static_cast<std::uint8_t>(vote->granted));
  }
  if (const auto* release = std::get_if<LeaseRelease>(&body))
    out.put(release->shard.value), out.put(release->term.value);
  if (const auto* batch = std::get_if<ReplicationBatch>(&body)) {
    out.put(batch->generation), out.put(batch->from), out.put(batch->up_to), out.put(batch->last);
    out.put(static_cast<std::uint64_t>(batch->echoed_clock)),
        out.put(static_cast<std::uint16_t>(batch->facts.size()));
    out.bytes += batch->facts;
  }
  if (const auto* replication_ack = std::get_if<ReplicationAck>(&body))
    out.put(replication_ack->generation), out.put(replication_ack->up_to),
        out.put(static_cast<std::uint64_t>(replication_ack->clock));
}

std::optional<Body> get_body(Reader& in, std::uint8_t kind) {
  const auto u16 = [&] { return in.get<std::uint16_t>(); };
  const auto u64 = [&] { return in.get<std::uint64_t>(); };
  switch (kind) {
    case 0:
      return Ping{u64()};
    case 1:
      return Ack{u64()};
    case 2: {
      const MemberId target{u16()};
      return PingRequest{target, u64()};
    }
    case 3: {
      const ShardId shard{u16()};
      const Term term{u64()};
      return VoteRequest{shard, term, u64()};
    }
    case 4: {
      const ShardId shard{u16()};
      const Term term{u64()};
      const auto request_id = u64();
      const auto granted = in.get<std::uint8_t>();
      if (granted > 1) return {};
      return Vote{shard, term, request_id, granted == 1};
    }
    case 5: {
      const ShardId shard{u16()};
      return LeaseRelease{shard, Term{u64()}};
    }
    case 6: {
      ReplicationBatch batch;
      batch.generation = u64(), batch.from = u64(), batch.up_to = u64(), batch.last = u64();
      batch.echoed_clock = static_cast<std::int64_t>(u64());
      batch.facts = in.text(u16());
      return batch;
    }
    case 7: {
      ReplicationAck replication_ack;
      replication_ack.generation = u64(), replication_ack.up_to = u64(),
      replication_ack.clock = static_cast<std::int64_t>(u64());
      return replication_ack;
    }
    default:
      return {};
  }
}

}  // namespace

const char* name_of(DropReason reason) {
  constexpr const char* names[] = {"too large", "cut off",    "unknown key", "wrong MAC",
                                   "replayed",  "not for us", "garbled"};
  return names[static_cast<std::size_t>(reason)];
}

std::vector<Key> parse_keys(std::string_view text) {
  std::vector<Key> keys;
  std::istringstream in{std::string{text}};
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    const auto fail = [&](const std::string& what) {
      throw std::runtime_error{"key file, line " + std::to_string(number) + ": " + what};
    };
    std::istringstream words{line.substr(0, line.find('#'))};
    unsigned key_number = 0;
    std::string hex, trailing;
    if (!(words >> std::ws) || words.eof()) continue;
    if (!(words >> key_number >> hex) || words >> trailing ||
        key_number > std::numeric_limits<std::uint8_t>::max())
      fail("expected a number from 0 to 255 and 64 hex digits");
    Key key{static_cast<std::uint8_t>(key_number), {}};
    std::size_t size = 0;
    const char* end = nullptr;
    if (sodium_hex2bin(key.bytes.data(), key.bytes.size(), hex.data(), hex.size(), nullptr, &size, &end) !=
            0 ||
        size != key.bytes.size() || end != hex.data() + hex.size())
      fail("expected 64 hex digits");  // the key itself must not be logged
    if (std::any_of(keys.begin(), keys.end(), [&](const Key& other) { return other.number == key.number; }))
      fail("key " + std::to_string(key_number) + " appears twice");
    keys.push_back(key);
  }
  if (keys.empty()) throw std::runtime_error{"key file: contains no key"};
  return keys;
}

FrameCodec::FrameCodec(MemberId self, std::uint64_t generation, std::vector<Key> keys)
    : self_{self}, generation_{generation} {
  if (sodium_init() < 0) throw std::runtime_error{"can't initialise libsodium"};
  set_keys(std::move(keys));
}

void FrameCodec::set_keys(std::vector<Key> keys) {
  if (keys.empty()) throw std::runtime_error{"a cluster needs at least one key"};
  keys_ = std::move(keys);
}

std::string FrameCodec::seal(const Message& message) {
  Writer out;
  out.put(std::uint16_t{0});
  out.put(keys_.back().number), out.put(message.to.value), out.put(self_.value), out.put(generation_),
      out.put(++counter_);
  put_body(out, message.body);
  const std::size_t n = std::min(message.updates.size(), kMaxUpdates);
  out.put(static_cast<std::uint8_t>(n));
  for (std::size_t k = 0; k < n; ++k) {
    const MemberUpdate& update = message.updates[k];
    out.put(update.member.value), out.put(static_cast<std::uint8_t>(update.state)),
        out.put(update.incarnation);
  }
  const std::size_t size = out.bytes.size() + kMacBytes;
  out.bytes[0] = static_cast<char>(size >> 8U), out.bytes[1] = static_cast<char>(size);
  std::array<std::uint8_t, kMacBytes> mac{};
  crypto_auth_hmacsha512256(mac.data(), reinterpret_cast<const std::uint8_t*>(out.bytes.data()),
                            out.bytes.size(), keys_.back().bytes.data());
  out.bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return std::move(out.bytes);
}

std::optional<std::size_t> FrameCodec::frame_length(std::string_view bytes) {
  if (bytes.size() < 2) return {};
  return static_cast<std::size_t>(static_cast<std::uint8_t>(bytes[0])) << 8U |
         static_cast<std::uint8_t>(bytes[1]);
}

std::variant<Message, DropReason> FrameCodec::open(std::string_view frame) {
  const auto declared = frame_length(frame);
  if (declared && *declared > kMaxFrameBytes) return DropReason::too_large;
  if (!declared || *declared != frame.size() || frame.size() < kHeaderBytes + 1 + kMacBytes)
    return DropReason::cut_off;
  const auto key = std::find_if(keys_.begin(), keys_.end(), [&](const Key& other) {
    return other.number == static_cast<std::uint8_t>(frame[2]);
  });
  if (key == keys_.end()) return DropReason::unknown_key;
  // No field beyond the key number is used before the MAC has been verified.
  const std::string_view authenticated = frame.substr(0, frame.size() - kMacBytes);
  if (crypto_auth_hmacsha512256_verify(
          reinterpret_cast<const std::uint8_t*>(frame.data() + authenticated.size()),
          reinterpret_cast<const std::uint8_t*>(authenticated.data()), authenticated.size(),
          key->bytes.data()) != 0)
    return DropReason::wrong_mac;
  Reader in{authenticated.substr(3)};
  Message message;
  message.to = MemberId{in.get<std::uint16_t>()}, message.from = MemberId{in.get<std::uint16_t>()};
  if (message.to != self_) return DropReason::not_for_us;
  const auto generation = in.get<std::uint64_t>();
  const auto counter = in.get<std::uint64_t>();
  auto body = get_body(in, in.get<std::uint8_t>());
  const auto n = in.get<std::uint8_t>();
  if (!body || n > kMaxUpdates) return DropReason::garbled;
  message.body = *body;
  for (std::size_t k = 0; k < n && !in.failed(); ++k) {
    MemberUpdate update;
    update.member = MemberId{in.get<std::uint16_t>()};
    const auto state = in.get<std::uint8_t>();
    update.incarnation = in.get<std::uint64_t>();
    if (state > 2) return DropReason::garbled;
    update.state = static_cast<MemberState>(state);
    message.updates.push_back(update);
  }
  if (!in.complete()) return DropReason::garbled;
  Sender& sender = senders_[message.from];
  if (generation < sender.generation) return DropReason::replayed;  // from before a restart of the sender
  if (generation > sender.generation) sender = {generation, 0, 0};
  if (counter > sender.highest) {
    const std::uint64_t advance = counter - sender.highest;
    sender.window = advance >= kReplayWindowFrames ? 1 : sender.window << advance | 1;
    sender.highest = counter;
  } else {
    const std::uint64_t age = sender.highest - counter;
    if (age >= kReplayWindowFrames || (sender.window >> age & 1U) != 0) return DropReason::replayed;
    sender.window |= std::uint64_t{1} << age;
  }
  return message;
}

}  // namespace gorsemount::cluster

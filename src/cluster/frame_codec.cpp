#include "cluster/frame_codec.hpp"

#include <sodium.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace gorsemount::cluster {

namespace {

// length u16 | key u8 | to u16 | from u16 | start u64 | counter u64 | kind u8 | body | updates u8 | each 11 |
// MAC
constexpr std::size_t kMac = crypto_auth_hmacsha512256_BYTES;
constexpr std::size_t kHead = 2 + 1 + 2 + 2 + 8 + 8 + 1;
constexpr std::size_t kRumoursMost = 64;
constexpr std::uint64_t kWindow = 64;

class Out {
 public:
  template <class Int>
  void put(Int v) {
    for (std::size_t k = sizeof v; k-- > 0;)
      bytes.push_back(static_cast<char>(static_cast<std::uint64_t>(v) >> 8U * k));
  }
  std::string bytes;
};

class In {
 public:
  explicit In(std::string_view bytes) : bytes_{bytes} {}
  template <class Int>
  Int get() {
    if (bytes_.size() < sizeof(Int)) {
      bad_ = true;
      return Int{};
    }
    std::uint64_t v = 0;
    for (std::size_t k = 0; k < sizeof(Int); ++k) v = v << 8U | static_cast<std::uint8_t>(bytes_[k]);
    bytes_.remove_prefix(sizeof(Int));
    return static_cast<Int>(v);
  }
  std::string text(std::size_t size) {
    if (bytes_.size() < size) {
      bad_ = true;
      return {};
    }
    std::string t{bytes_.substr(0, size)};
    bytes_.remove_prefix(size);
    return t;
  }
  [[nodiscard]] bool whole() const { return !bad_ && bytes_.empty(); }
  [[nodiscard]] bool bad() const { return bad_; }

 private:
  std::string_view bytes_;
  bool bad_ = false;
};

void put_body(Out& out, const Body& body) {
  out.put(static_cast<std::uint8_t>(body.index()));
  if (const auto* ping = std::get_if<Ping>(&body)) out.put(ping->number);
  if (const auto* ack = std::get_if<Ack>(&body)) out.put(ack->number);
  if (const auto* help = std::get_if<PingFor>(&body)) out.put(help->of.value), out.put(help->number);
  if (const auto* ask = std::get_if<AskVote>(&body))
    out.put(ask->shard.value), out.put(ask->term.value), out.put(ask->number);
  if (const auto* vote = std::get_if<Vote>(&body)) {
    out.put(vote->shard.value), out.put(vote->term.value), out.put(vote->number);
    out.put(static_cast<std::uint8_t>(vote->granted));
  }
  if (const auto* give = std::get_if<GiveUp>(&body)) out.put(give->shard.value), out.put(give->term.value);
  if (const auto* news = std::get_if<ReplicationBatch>(&body)) {
    out.put(news->start), out.put(news->from), out.put(news->upto), out.put(news->last);
    out.put(static_cast<std::uint64_t>(news->echo)), out.put(static_cast<std::uint16_t>(news->facts.size()));
    out.bytes += news->facts;
  }
  if (const auto* heard = std::get_if<Heard>(&body))
    out.put(heard->start), out.put(heard->upto), out.put(static_cast<std::uint64_t>(heard->at));
}

std::optional<Body> get_body(In& in, std::uint8_t kind) {
  const auto u16 = [&] { return in.get<std::uint16_t>(); };
  const auto u64 = [&] { return in.get<std::uint64_t>(); };
  switch (kind) {
    case 0:
      return Ping{u64()};
    case 1:
      return Ack{u64()};
    case 2: {
      const MemberId of{u16()};
      return PingFor{of, u64()};
    }
    case 3: {
      const ShardId shard{u16()};
      const Term term{u64()};
      return AskVote{shard, term, u64()};
    }
    case 4: {
      const ShardId shard{u16()};
      const Term term{u64()};
      const auto number = u64();
      const auto granted = in.get<std::uint8_t>();
      if (granted > 1) return {};
      return Vote{shard, term, number, granted == 1};
    }
    case 5: {
      const ShardId shard{u16()};
      return GiveUp{shard, Term{u64()}};
    }
    case 6: {
      ReplicationBatch news;
      news.start = u64(), news.from = u64(), news.upto = u64(), news.last = u64();
      news.echo = static_cast<std::int64_t>(u64());
      news.facts = in.text(u16());
      return news;
    }
    case 7: {
      Heard heard;
      heard.start = u64(), heard.upto = u64(), heard.at = static_cast<std::int64_t>(u64());
      return heard;
    }
    default:
      return {};
  }
}

}  // namespace

const char* name_of(Drop drop) {
  constexpr const char* names[] = {"too large", "cut off",    "unknown key", "wrong MAC",
                                   "replayed",  "not for us", "garbled"};
  return names[static_cast<std::size_t>(drop)];
}

std::vector<Key> parse_keys(std::string_view text) {
  std::vector<Key> ring;
  std::istringstream in{std::string{text}};
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    const auto fail = [&](const std::string& what) {
      throw std::runtime_error{"key file, line " + std::to_string(number) + ": " + what};
    };
    std::istringstream words{line.substr(0, line.find('#'))};
    unsigned which = 0;
    std::string hex, more;
    if (!(words >> std::ws) || words.eof()) continue;
    if (!(words >> which >> hex) || words >> more || which > std::numeric_limits<std::uint8_t>::max())
      fail("expected a number from 0 to 255 and 64 hex digits");
    Key key{static_cast<std::uint8_t>(which), {}};
    std::size_t size = 0;
    const char* end = nullptr;
    if (sodium_hex2bin(key.bytes.data(), key.bytes.size(), hex.data(), hex.size(), nullptr, &size, &end) !=
            0 ||
        size != key.bytes.size() || end != hex.data() + hex.size())
      fail("expected 64 hex digits");  // never the digits themselves
    if (std::any_of(ring.begin(), ring.end(), [&](const Key& k) { return k.number == key.number; }))
      fail("key " + std::to_string(which) + " is there twice");
    ring.push_back(key);
  }
  if (ring.empty()) throw std::runtime_error{"key file: holds no key"};
  return ring;
}

FrameCodec::FrameCodec(MemberId self, std::uint64_t start, std::vector<Key> ring)
    : self_{self}, start_{start} {
  if (sodium_init() < 0) throw std::runtime_error{"libsodium can't start"};
  set_keys(std::move(ring));
}

void FrameCodec::set_keys(std::vector<Key> ring) {
  if (ring.empty()) throw std::runtime_error{"a cluster needs a key"};
  ring_ = std::move(ring);
}

std::string FrameCodec::seal(const Message& m) {
  Out out;
  out.put(std::uint16_t{0});
  out.put(ring_.back().number), out.put(m.to.value), out.put(self_.value), out.put(start_),
      out.put(++counter_);
  put_body(out, m.body);
  const std::size_t n = std::min(m.updates.size(), kRumoursMost);
  out.put(static_cast<std::uint8_t>(n));
  for (std::size_t k = 0; k < n; ++k) {
    const MemberUpdate& r = m.updates[k];
    out.put(r.member.value), out.put(static_cast<std::uint8_t>(r.standing)), out.put(r.incarnation);
  }
  const std::size_t size = out.bytes.size() + kMac;
  out.bytes[0] = static_cast<char>(size >> 8U), out.bytes[1] = static_cast<char>(size);
  std::array<std::uint8_t, kMac> mac{};
  crypto_auth_hmacsha512256(mac.data(), reinterpret_cast<const std::uint8_t*>(out.bytes.data()),
                            out.bytes.size(), ring_.back().bytes.data());
  out.bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return std::move(out.bytes);
}

std::optional<std::size_t> FrameCodec::length(std::string_view bytes) {
  if (bytes.size() < 2) return {};
  return static_cast<std::size_t>(static_cast<std::uint8_t>(bytes[0])) << 8U |
         static_cast<std::uint8_t>(bytes[1]);
}

std::variant<Message, Drop> FrameCodec::open(std::string_view frame) {
  const auto said = length(frame);
  if (said && *said > kFrameMost) return Drop::too_large;
  if (!said || *said != frame.size() || frame.size() < kHead + 1 + kMac) return Drop::cut_off;
  const auto key = std::find_if(ring_.begin(), ring_.end(), [&](const Key& k) {
    return k.number == static_cast<std::uint8_t>(frame[2]);
  });
  if (key == ring_.end()) return Drop::unknown_key;
  // Nothing of it is believed before its MAC is.
  const std::string_view text = frame.substr(0, frame.size() - kMac);
  if (crypto_auth_hmacsha512256_verify(reinterpret_cast<const std::uint8_t*>(frame.data() + text.size()),
                                       reinterpret_cast<const std::uint8_t*>(text.data()), text.size(),
                                       key->bytes.data()) != 0)
    return Drop::wrong_mac;
  In in{text.substr(3)};
  Message m;
  m.to = MemberId{in.get<std::uint16_t>()}, m.from = MemberId{in.get<std::uint16_t>()};
  if (m.to != self_) return Drop::not_for_us;
  const auto start = in.get<std::uint64_t>();
  const auto counter = in.get<std::uint64_t>();
  auto body = get_body(in, in.get<std::uint8_t>());
  const auto n = in.get<std::uint8_t>();
  if (!body || n > kRumoursMost) return Drop::garbled;
  m.body = *body;
  for (std::size_t k = 0; k < n && !in.bad(); ++k) {
    MemberUpdate r;
    r.member = MemberId{in.get<std::uint16_t>()};
    const auto standing = in.get<std::uint8_t>();
    r.incarnation = in.get<std::uint64_t>();
    if (standing > 2) return Drop::garbled;
    r.standing = static_cast<MemberState>(standing);
    m.updates.push_back(r);
  }
  if (!in.whole()) return Drop::garbled;
  Seen& seen = seen_[m.from];
  if (start < seen.start) return Drop::replayed;  // of a life that is over
  if (start > seen.start) seen = {start, 0, 0};
  if (counter > seen.highest) {
    const std::uint64_t by = counter - seen.highest;
    seen.window = by >= kWindow ? 1 : seen.window << by | 1;
    seen.highest = counter;
  } else {
    const std::uint64_t back = seen.highest - counter;
    if (back >= kWindow || (seen.window >> back & 1U) != 0) return Drop::replayed;
    seen.window |= std::uint64_t{1} << back;
  }
  return m;
}

}  // namespace gorsemount::cluster

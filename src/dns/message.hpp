// DNS messages (RFC 1035, section 4; RFC 6891 for EDNS(0); RFC 7871 for client subnets): reads questions,
// writes answers. No I/O, no decisions.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/address.hpp"

namespace gorsemount::dns {

enum class Type : std::uint16_t {
  A = 1,
  NS = 2,
  SOA = 6,
  HINFO = 13,
  TXT = 16,
  AAAA = 28,
  SRV = 33,
  OPT = 41,
  IXFR = 251,
  AXFR = 252,
  ANY = 255
};
enum class Code : std::uint16_t {
  no_error = 0,
  format = 1,
  server_failure = 2,
  no_name = 3,
  not_implemented = 4,
  refused = 5,
  bad_version = 16
};
inline constexpr std::uint16_t kIn = 1, kAnyClass = 255;
inline constexpr std::size_t kHeader = 12;
inline constexpr std::size_t kNameMost = 255;  // RFC 1035, section 3.1

// A name in wire form, lower case, with its last zero.
using Name = std::string;
// "a.example.org" to wire form; empty if it is no name.
[[nodiscard]] Name to_wire(std::string_view text);
[[nodiscard]] std::string to_text(std::string_view wire);

struct ClientSubnet {
  Prefix source;
  std::uint16_t family = 1;
};

struct Query {
  std::uint16_t id = 0;
  std::uint8_t opcode = 0;
  bool recursion_desired = false;
  Name name;                 // lower case, for looking up
  std::size_t question = 0;  // bytes of the question section, to be copied back as asked
  Type type = Type::A;
  std::uint16_t rr_class = kIn;
  bool edns = false;
  std::uint8_t edns_version = 0;
  bool dnssec_ok = false;
  std::uint16_t udp_size = 512;
  std::optional<ClientSubnet> subnet;
};

// What became of reading a message. `drop`: no answer is due (too short for a header, or itself an answer).
enum class Read { good, drop, format_error, not_implemented };
// Fills what can be read even when it is not good: the header's id, and the question if it was sound.
[[nodiscard]] Read read_query(std::span<const std::uint8_t> in, Query& out);

// Writes into a buffer of fixed size; past its end nothing is written and `full` is set.
class Writer {
 public:
  explicit Writer(std::span<std::uint8_t> out) : out_{out} {}
  void u8(std::uint8_t v) { bytes({&v, 1}); }
  void u16(std::uint16_t v) {
    const std::array<std::uint8_t, 2> b{static_cast<std::uint8_t>(v >> 8U), static_cast<std::uint8_t>(v)};
    bytes(b);
  }
  void u32(std::uint32_t v) { u16(static_cast<std::uint16_t>(v >> 16U)), u16(static_cast<std::uint16_t>(v)); }
  void bytes(std::span<const std::uint8_t> b);
  void text(std::string_view b) { bytes({reinterpret_cast<const std::uint8_t*>(b.data()), b.size()}); }
  void patch16(std::size_t at, std::uint16_t v);
  void set_bit(std::size_t at, std::uint8_t bit) { out_[at] |= bit; }
  void rewind(std::size_t to) { size_ = to, full_ = false; }
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool full() const { return full_; }

 private:
  std::span<std::uint8_t> out_;
  std::size_t size_ = 0;
  bool full_ = false;
};

// The header and the question as it was asked (case kept). Counts are patched by finish().
void begin_answer(Writer& w, std::span<const std::uint8_t> in, const Query& q, Code code, bool authoritative);
struct Counts {
  std::uint16_t answer = 0, authority = 0, additional = 0;
};
// Adds the OPT record where the question had one (RFC 6891, section 6.1.1), with the subnet's scope
// (RFC 7871, section 7.2.1), and sets the counts. Needs `opt_size` bytes.
[[nodiscard]] std::size_t opt_size(const Query& q);
void finish(Writer& w, const Query& q, Code code, Counts counts, unsigned scope, std::uint16_t udp_size,
            bool truncated);

}  // namespace gorsemount::dns

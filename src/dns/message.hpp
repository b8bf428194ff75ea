// DNS messages (RFC 1035, section 4; RFC 6891 for EDNS(0); RFC 7871 for client subnets): parses
// queries and encodes responses. No I/O, no decisions.
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
enum class ResponseCode : std::uint16_t {
  no_error = 0,
  format_error = 1,
  server_failure = 2,
  name_error = 3,
  not_implemented = 4,
  refused = 5,
  bad_version = 16
};
inline constexpr std::uint16_t kClassIn = 1, kClassAny = 255;
inline constexpr std::size_t kHeaderBytes = 12;
inline constexpr std::size_t kMaxNameBytes = 255;  // RFC 1035, section 3.1

// A domain name in wire format, lower case, with the terminating root label.
using Name = std::string;
// Converts "a.example.org" to wire format; returns an empty string if the text is not a valid name.
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
  Name name;                       // lower case, for the lookup
  std::size_t question_bytes = 0;  // size of the question section, which is echoed unchanged
  Type type = Type::A;
  std::uint16_t rr_class = kClassIn;
  bool edns = false;
  std::uint8_t edns_version = 0;
  bool dnssec_ok = false;
  std::uint16_t udp_size = 512;
  std::optional<ClientSubnet> subnet;
};

// Result of parsing a message. `drop`: it gets no response (too short for a header, or itself a response).
enum class ParseResult { valid, drop, format_error, not_implemented };
// Fills `out` as far as possible even for an invalid message: the id, and the question if it is well-formed.
[[nodiscard]] ParseResult parse_query(std::span<const std::uint8_t> in, Query& out);

// Writes into a fixed-size buffer. A write that does not fit is discarded and sets `full`.
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
  void patch_u16(std::size_t at, std::uint16_t v);
  void set_bit(std::size_t at, std::uint8_t bit) { out_[at] |= bit; }
  void rewind(std::size_t to) { size_ = to, full_ = false; }
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool full() const { return full_; }

 private:
  std::span<std::uint8_t> out_;
  std::size_t size_ = 0;
  bool full_ = false;
};

// Writes the header and echoes the question with its case preserved. finish_answer() fills in the counts.
void begin_answer(Writer& writer, std::span<const std::uint8_t> in, const Query& query, ResponseCode code,
                  bool authoritative);
struct SectionCounts {
  std::uint16_t answer = 0, authority = 0, additional = 0;
};
// Size of the OPT record that finish_answer() adds.
[[nodiscard]] std::size_t opt_record_bytes(const Query& query);
// Adds an OPT record if the query had one (RFC 6891, section 6.1.1), with the scope of the client subnet
// (RFC 7871, section 7.2.1), and sets the section counts.
void finish_answer(Writer& writer, const Query& query, ResponseCode code, SectionCounts counts,
                   unsigned scope, std::uint16_t udp_size, bool truncated);

}  // namespace gorsemount::dns

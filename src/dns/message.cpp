#include "dns/message.hpp"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace gorsemount::dns {

namespace {

constexpr std::uint16_t kResponse = 0x8000, kAuthoritative = 0x0400, kTruncated = 0x0200, kRecursion = 0x0100;
constexpr std::uint16_t kSubnetOption = 8;  // RFC 7871, section 6

std::uint16_t u16_at(std::span<const std::uint8_t> in, std::size_t at) {
  return static_cast<std::uint16_t>(in[at] << 8U | in[at + 1]);
}

std::uint8_t lower(std::uint8_t c) { return c >= 'A' && c <= 'Z' ? static_cast<std::uint8_t>(c + 32) : c; }

// Reads an uncompressed name; false if it is cut off, too long or compressed: nothing stands before the first
// question that a pointer could mean.
bool read_name(std::span<const std::uint8_t> in, std::size_t& at, Name& out) {
  out.clear();
  while (at < in.size()) {
    const std::uint8_t length = in[at];
    if (length > 63 || at + 1 + length > in.size()) return false;
    out.push_back(static_cast<char>(length));
    for (std::size_t k = 1; k <= length; ++k) out.push_back(static_cast<char>(lower(in[at + k])));
    at += 1U + length;
    if (out.size() > kNameMost) return false;
    if (length == 0) return true;
  }
  return false;
}

// Passes over a name that may end in a pointer; pointers are not followed.
bool skip_name(std::span<const std::uint8_t> in, std::size_t& at) {
  while (at < in.size()) {
    const std::uint8_t length = in[at];
    if ((length & 0xc0U) == 0xc0U) return (at += 2) <= in.size();
    if (length > 63) return false;
    at += 1U + length;
    if (length == 0) return at <= in.size();
  }
  return false;
}

bool read_subnet(std::span<const std::uint8_t> data, Query& q) {
  if (data.size() < 4) return false;
  ClientSubnet s;
  s.family = u16_at(data, 0);
  if (s.family != 1 && s.family != 2) return false;
  s.source.address.v6 = s.family == 2;
  s.source.length = data[2];
  const std::size_t bytes = (s.source.length + 7U) / 8U;
  // RFC 7871, section 6: as many octets as the length needs, no bits behind it, no scope in a question.
  if (s.source.length > s.source.address.bits() || data[3] != 0 || data.size() != 4 + bytes) return false;
  std::copy_n(data.begin() + 4, bytes, s.source.address.bytes.begin());
  if (masked(s.source.address, s.source.length) != s.source.address) return false;
  q.subnet = s;
  return true;
}

bool read_opt(std::span<const std::uint8_t> in, std::size_t at, std::size_t end, Query& q) {
  while (at < end) {
    if (end - at < 4) return false;
    const std::uint16_t option = u16_at(in, at), size = u16_at(in, at + 2);
    at += 4;
    if (end - at < size) return false;
    if (option == kSubnetOption && (q.subnet || !read_subnet(in.subspan(at, size), q))) return false;
    at += size;
  }
  return true;
}

}  // namespace

Name to_wire(std::string_view text) {
  Name out;
  while (!text.empty()) {
    const auto dot = std::min(text.find('.'), text.size());
    if (dot == 0 || dot > 63) return {};
    out.push_back(static_cast<char>(dot));
    for (const char c : text.substr(0, dot))
      out.push_back(static_cast<char>(lower(static_cast<std::uint8_t>(c))));
    text.remove_prefix(std::min(dot + 1, text.size()));
  }
  out.push_back('\0');
  return out.size() <= kNameMost ? out : Name{};
}

std::string to_text(std::string_view wire) {
  std::string out;
  while (!wire.empty() && wire[0] != 0) {
    const auto length = std::min<std::size_t>(static_cast<std::uint8_t>(wire[0]), wire.size() - 1);
    out.append(wire.substr(1, length)).push_back('.');
    wire.remove_prefix(1 + length);
  }
  return out.empty() ? "." : out;
}

Read read_query(std::span<const std::uint8_t> in, Query& q) {
  q = {};
  if (in.size() < kHeader) return Read::drop;
  q.id = u16_at(in, 0);
  const std::uint16_t flags = u16_at(in, 2);
  if ((flags & kResponse) != 0) return Read::drop;  // answering answers can go round for ever
  q.opcode = static_cast<std::uint8_t>(flags >> 11U & 0xfU);
  q.recursion_desired = (flags & kRecursion) != 0;
  if (q.opcode != 0) return Read::not_implemented;
  // One question, as everybody means it; RFC 9619: any other count is a format error.
  if (u16_at(in, 4) != 1) return Read::format_error;
  std::size_t at = kHeader;
  if (!read_name(in, at, q.name) || in.size() - at < 4) return Read::format_error;
  q.type = static_cast<Type>(u16_at(in, at)), q.rr_class = u16_at(in, at + 2);
  at += 4;
  q.question = at - kHeader;
  const std::size_t others = std::size_t{u16_at(in, 6)} + u16_at(in, 8);
  const std::size_t records = others + u16_at(in, 10);
  for (std::size_t k = 0; k < records; ++k) {
    const std::size_t from = at;
    if (!skip_name(in, at) || in.size() - at < 10) return Read::format_error;
    const auto type = static_cast<Type>(u16_at(in, at));
    const std::size_t size = u16_at(in, at + 8);
    const std::size_t data = at + 10;
    if (in.size() - data < size) return Read::format_error;
    if (type == Type::OPT) {
      // RFC 6891, section 6.1.1: one, in the additional section, at the root.
      if (q.edns || k < others || in[from] != 0) return Read::format_error;
      q.edns = true;
      q.udp_size = std::max<std::uint16_t>(512, u16_at(in, at + 2));
      q.edns_version = in[at + 5];
      q.dnssec_ok = (in[at + 6] & 0x80U) != 0;
      if (q.edns_version == 0 && !read_opt(in, data, data + size, q)) return Read::format_error;
    }
    at = data + size;
  }
  return at == in.size() ? Read::good : Read::format_error;
}

void Writer::bytes(std::span<const std::uint8_t> b) {
  if (full_ || b.size() > out_.size() - size_) {
    full_ = true;
    return;
  }
  std::memcpy(out_.data() + size_, b.data(), b.size());
  size_ += b.size();
}

void Writer::patch16(std::size_t at, std::uint16_t v) {
  out_[at] = static_cast<std::uint8_t>(v >> 8U), out_[at + 1] = static_cast<std::uint8_t>(v);
}

void begin_answer(Writer& w, std::span<const std::uint8_t> in, const Query& q, Code code,
                  bool authoritative) {
  const auto flags = static_cast<std::uint16_t>(
      kResponse | q.opcode << 11U | (authoritative ? kAuthoritative : 0U) |
      (q.recursion_desired ? kRecursion : 0U) | (static_cast<std::uint16_t>(code) & 0xfU));
  w.u16(q.id), w.u16(flags), w.u16(q.question > 0 ? 1 : 0);
  w.u16(0), w.u16(0), w.u16(0);
  if (q.question > 0) w.bytes(in.subspan(kHeader, q.question));
}

std::size_t opt_size(const Query& q) {
  if (!q.edns) return 0;
  return 11 + (q.subnet ? 8 + (q.subnet->source.length + 7U) / 8U : 0);
}

void finish(Writer& w, const Query& q, Code code, Counts counts, unsigned scope, std::uint16_t udp_size,
            bool truncated) {
  if (q.edns) {
    w.u8(0), w.u16(static_cast<std::uint16_t>(Type::OPT)), w.u16(udp_size);
    w.u8(static_cast<std::uint8_t>(static_cast<std::uint16_t>(code) >> 4U)), w.u8(0);
    w.u16(q.dnssec_ok ? 0x8000 : 0);  // RFC 3225, section 3: copied
    if (q.subnet) {
      const std::size_t bytes = (q.subnet->source.length + 7U) / 8U;
      w.u16(static_cast<std::uint16_t>(8 + bytes));
      w.u16(kSubnetOption), w.u16(static_cast<std::uint16_t>(4 + bytes)), w.u16(q.subnet->family);
      w.u8(static_cast<std::uint8_t>(q.subnet->source.length)), w.u8(static_cast<std::uint8_t>(scope));
      w.bytes({q.subnet->source.address.bytes.data(), bytes});
    } else {
      w.u16(0);
    }
    ++counts.additional;
  }
  w.patch16(6, counts.answer), w.patch16(8, counts.authority), w.patch16(10, counts.additional);
  if (truncated) w.set_bit(2, static_cast<std::uint8_t>(kTruncated >> 8U));
}

}  // namespace gorsemount::dns

#include "dns/message.hpp"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace gorsemount::dns {

namespace {

constexpr std::uint16_t kResponse = 0x8000, kAuthoritative = 0x0400, kTruncated = 0x0200, kRecursion = 0x0100;
constexpr std::uint16_t kClientSubnetOption = 8;  // RFC 7871, section 6

std::uint16_t u16_at(std::span<const std::uint8_t> in, std::size_t at) {
  return static_cast<std::uint16_t>(in[at] << 8U | in[at + 1]);
}

std::uint8_t lower(std::uint8_t c) { return c >= 'A' && c <= 'Z' ? static_cast<std::uint8_t>(c + 32) : c; }

// Parses an uncompressed name; false if it is truncated, too long or compressed. Before the first question
// there is no name that a compression pointer could refer to.
bool parse_name(std::span<const std::uint8_t> in, std::size_t& at, Name& out) {
  out.clear();
  while (at < in.size()) {
    const std::uint8_t length = in[at];
    if (length > 63 || at + 1 + length > in.size()) return false;
    out.push_back(static_cast<char>(length));
    for (std::size_t k = 1; k <= length; ++k) out.push_back(static_cast<char>(lower(in[at + k])));
    at += 1U + length;
    if (out.size() > kMaxNameBytes) return false;
    if (length == 0) return true;
  }
  return false;
}

// Skips a name, which may end in a compression pointer; pointers are not followed.
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

bool parse_client_subnet(std::span<const std::uint8_t> data, Query& query) {
  if (data.size() < 4) return false;
  ClientSubnet subnet;
  subnet.family = u16_at(data, 0);
  if (subnet.family != 1 && subnet.family != 2) return false;
  subnet.source.address.v6 = subnet.family == 2;
  subnet.source.length = data[2];
  const std::size_t bytes = (subnet.source.length + 7U) / 8U;
  // RFC 7871, section 6: exactly as many octets as the prefix length needs, no bits set beyond it, and scope
  // 0 in a query.
  if (subnet.source.length > subnet.source.address.bits() || data[3] != 0 || data.size() != 4 + bytes)
    return false;
  std::copy_n(data.begin() + 4, bytes, subnet.source.address.bytes.begin());
  if (masked(subnet.source.address, subnet.source.length) != subnet.source.address) return false;
  query.subnet = subnet;
  return true;
}

bool parse_opt_options(std::span<const std::uint8_t> in, std::size_t at, std::size_t end, Query& query) {
  while (at < end) {
    if (end - at < 4) return false;
    const std::uint16_t option = u16_at(in, at), size = u16_at(in, at + 2);
    at += 4;
    if (end - at < size) return false;
    if (option == kClientSubnetOption && (query.subnet || !parse_client_subnet(in.subspan(at, size), query)))
      return false;
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
  return out.size() <= kMaxNameBytes ? out : Name{};
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

ParseResult parse_query(std::span<const std::uint8_t> in, Query& query) {
  query = {};
  if (in.size() < kHeaderBytes) return ParseResult::drop;
  query.id = u16_at(in, 0);
  const std::uint16_t flags = u16_at(in, 2);
  if ((flags & kResponse) != 0) return ParseResult::drop;  // answering a response could loop forever
  query.opcode = static_cast<std::uint8_t>(flags >> 11U & 0xfU);
  query.recursion_desired = (flags & kRecursion) != 0;
  if (query.opcode != 0) return ParseResult::not_implemented;
  // RFC 9619: a question count other than 1 is a format error.
  if (u16_at(in, 4) != 1) return ParseResult::format_error;
  std::size_t at = kHeaderBytes;
  if (!parse_name(in, at, query.name) || in.size() - at < 4) return ParseResult::format_error;
  query.type = static_cast<Type>(u16_at(in, at)), query.rr_class = u16_at(in, at + 2);
  at += 4;
  query.question_bytes = at - kHeaderBytes;
  const std::size_t records_before_additional = std::size_t{u16_at(in, 6)} + u16_at(in, 8);
  const std::size_t records = records_before_additional + u16_at(in, 10);
  for (std::size_t k = 0; k < records; ++k) {
    const std::size_t record_start = at;
    if (!skip_name(in, at) || in.size() - at < 10) return ParseResult::format_error;
    const auto type = static_cast<Type>(u16_at(in, at));
    const std::size_t size = u16_at(in, at + 8);
    const std::size_t data = at + 10;
    if (in.size() - data < size) return ParseResult::format_error;
    if (type == Type::OPT) {
      // RFC 6891, section 6.1.1: at most one OPT record, in the additional section, owned by the root.
      if (query.edns || k < records_before_additional || in[record_start] != 0)
        return ParseResult::format_error;
      query.edns = true;
      query.udp_size = std::max<std::uint16_t>(512, u16_at(in, at + 2));
      query.edns_version = in[at + 5];
      query.dnssec_ok = (in[at + 6] & 0x80U) != 0;
      if (query.edns_version == 0 && !parse_opt_options(in, data, data + size, query))
        return ParseResult::format_error;
    }
    at = data + size;
  }
  return at == in.size() ? ParseResult::valid : ParseResult::format_error;
}

void Writer::bytes(std::span<const std::uint8_t> b) {
  if (full_ || b.size() > out_.size() - size_) {
    full_ = true;
    return;
  }
  std::memcpy(out_.data() + size_, b.data(), b.size());
  size_ += b.size();
}

void Writer::patch_u16(std::size_t at, std::uint16_t v) {
  out_[at] = static_cast<std::uint8_t>(v >> 8U), out_[at + 1] = static_cast<std::uint8_t>(v);
}

void begin_answer(Writer& writer, std::span<const std::uint8_t> in, const Query& query, ResponseCode code,
                  bool authoritative) {
  const auto flags = static_cast<std::uint16_t>(
      kResponse | query.opcode << 11U | (authoritative ? kAuthoritative : 0U) |
      (query.recursion_desired ? kRecursion : 0U) | (static_cast<std::uint16_t>(code) & 0xfU));
  writer.u16(query.id), writer.u16(flags), writer.u16(query.question_bytes > 0 ? 1 : 0);
  writer.u16(0), writer.u16(0), writer.u16(0);
  if (query.question_bytes > 0) writer.bytes(in.subspan(kHeaderBytes, query.question_bytes));
}

std::size_t opt_record_bytes(const Query& query) {
  if (!query.edns) return 0;
  return 11 + (query.subnet ? 8 + (query.subnet->source.length + 7U) / 8U : 0);
}

void finish_answer(Writer& writer, const Query& query, ResponseCode code, SectionCounts counts,
                   unsigned scope, std::uint16_t udp_size, bool truncated) {
  if (query.edns) {
    writer.u8(0), writer.u16(static_cast<std::uint16_t>(Type::OPT)), writer.u16(udp_size);
    writer.u8(static_cast<std::uint8_t>(static_cast<std::uint16_t>(code) >> 4U)), writer.u8(0);
    writer.u16(query.dnssec_ok ? 0x8000 : 0);  // RFC 3225, section 3: the DO bit is copied
    if (query.subnet) {
      const std::size_t bytes = (query.subnet->source.length + 7U) / 8U;
      writer.u16(static_cast<std::uint16_t>(8 + bytes));
      writer.u16(kClientSubnetOption), writer.u16(static_cast<std::uint16_t>(4 + bytes)),
          writer.u16(query.subnet->family);
      writer.u8(static_cast<std::uint8_t>(query.subnet->source.length)),
          writer.u8(static_cast<std::uint8_t>(scope));
      writer.bytes({query.subnet->source.address.bytes.data(), bytes});
    } else {
      writer.u16(0);
    }
    ++counts.additional;
  }
  writer.patch_u16(6, counts.answer), writer.patch_u16(8, counts.authority),
      writer.patch_u16(10, counts.additional);
  if (truncated) writer.set_bit(2, static_cast<std::uint8_t>(kTruncated >> 8U));
}

}  // namespace gorsemount::dns

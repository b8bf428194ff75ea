#include "core/address.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace gorsemount {

namespace {

std::optional<unsigned> parse_number(std::string_view text, unsigned max) {
  unsigned value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value > max) return {};
  return value;
}

}  // namespace

std::string Address::text() const {
  char out[INET6_ADDRSTRLEN] = {};
  return inet_ntop(v6 ? AF_INET6 : AF_INET, bytes.data(), out, sizeof out) != nullptr ? out : "";
}

std::optional<Address> Address::parse(const std::string& text) {
  Address parsed;
  if (inet_pton(AF_INET, text.c_str(), parsed.bytes.data()) == 1) return parsed;
  if (inet_pton(AF_INET6, text.c_str(), parsed.bytes.data()) != 1) return {};
  parsed.v6 = true;
  constexpr std::array<std::uint8_t, 12> v4_mapped_prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
  if (std::equal(v4_mapped_prefix.begin(), v4_mapped_prefix.end(), parsed.bytes.begin())) {
    Address v4_address;
    std::copy_n(parsed.bytes.begin() + 12, 4, v4_address.bytes.begin());
    return v4_address;
  }
  return parsed;
}

std::string Endpoint::text() const {
  return (address.v6 ? "[" + address.text() + "]" : address.text()) + ":" + std::to_string(port);
}

std::optional<Endpoint> Endpoint::parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  std::string host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  const auto address = Address::parse(host);
  const auto port = parse_number(std::string_view{text}.substr(colon + 1), 65535);
  if (!address || !port || *port == 0 || address->v6 != bracketed) return {};
  return Endpoint{*address, static_cast<std::uint16_t>(*port)};
}

bool Prefix::covers(const Address& other) const {
  return other.v6 == address.v6 && masked(other, length) == address;
}

std::string Prefix::text() const { return address.text() + "/" + std::to_string(length); }

std::optional<Prefix> Prefix::parse(const std::string& text) {
  const auto slash = text.find('/');
  const auto address = Address::parse(text.substr(0, slash));
  if (!address) return {};
  const auto length = slash == std::string::npos
                          ? address->bits()
                          : parse_number(std::string_view{text}.substr(slash + 1), address->bits());
  if (!length || masked(*address, *length) != *address) return {};
  return Prefix{*address, *length};
}

Address masked(Address address, unsigned length) {
  for (unsigned index = 0; index < 16; ++index) {
    const unsigned kept_bits = length >= 8 * (index + 1) ? 8 : length > 8 * index ? length - 8 * index : 0;
    address.bytes[index] &= static_cast<std::uint8_t>(0xff00U >> kept_bits);
  }
  return address;
}

}  // namespace gorsemount

// IP addresses, endpoints and prefixes as values.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace gorsemount {

// An IPv4 address uses the first four bytes.
struct Address {
  bool v6 = false;
  std::array<std::uint8_t, 16> bytes{};
  auto operator<=>(const Address&) const = default;
  [[nodiscard]] unsigned bits() const { return v6 ? 128 : 32; }
  [[nodiscard]] std::string text() const;
  // Empty if `text` is not an address. An IPv4-mapped IPv6 address becomes an IPv4 address.
  [[nodiscard]] static std::optional<Address> parse(const std::string& text);
};

struct Endpoint {
  Address address;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
  [[nodiscard]] std::string text() const;
  // "127.0.0.1:80" or "[::1]:80"
  [[nodiscard]] static std::optional<Endpoint> parse(const std::string& text);
};

struct Prefix {
  Address address;
  unsigned length = 0;
  auto operator<=>(const Prefix&) const = default;
  [[nodiscard]] bool covers(const Address& other) const;
  [[nodiscard]] std::string text() const;
  // Empty if `text` is not a prefix or has bits set beyond its length.
  [[nodiscard]] static std::optional<Prefix> parse(const std::string& text);
};

// The address with all bits beyond `length` cleared.
[[nodiscard]] Address masked(Address address, unsigned length);

}  // namespace gorsemount

// IP addresses and prefixes as plain values.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace gorsemount {

// An IPv4 address is held in its first four bytes.
struct Address {
  bool v6 = false;
  std::array<std::uint8_t, 16> bytes{};
  auto operator<=>(const Address&) const = default;
  [[nodiscard]] unsigned bits() const { return v6 ? 128 : 32; }
  [[nodiscard]] std::string text() const;
  // Empty if `text` is no address. An IPv4 address mapped into IPv6 becomes the IPv4 one.
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
  [[nodiscard]] bool covers(const Address& a) const;
  [[nodiscard]] std::string text() const;
  // Empty if `text` is no prefix or has bits set behind its length.
  [[nodiscard]] static std::optional<Prefix> parse(const std::string& text);
};

// The address with all bits behind `length` cleared.
[[nodiscard]] Address masked(Address address, unsigned length);

}  // namespace gorsemount

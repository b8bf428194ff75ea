// Points in time and time spans as distinct types with microsecond resolution.
#pragma once

#include <cmath>
#include <compare>
#include <cstdint>

namespace gorsemount {

class Span {
 public:
  constexpr Span() = default;

  [[nodiscard]] static Span seconds(double s) { return Span{std::llround(s * 1e6)}; }
  [[nodiscard]] static constexpr Span micros(std::int64_t n) { return Span{n}; }
  [[nodiscard]] constexpr double seconds() const { return static_cast<double>(micros_) / 1e6; }
  [[nodiscard]] constexpr std::int64_t micros() const { return micros_; }

  constexpr auto operator<=>(const Span&) const = default;
  constexpr Span operator+(Span other) const { return Span{micros_ + other.micros_}; }
  constexpr Span operator-(Span other) const { return Span{micros_ - other.micros_}; }
  Span operator*(double factor) const { return Span::seconds(seconds() * factor); }

 private:
  friend class Instant;
  constexpr explicit Span(std::int64_t micros) : micros_{micros} {}

  std::int64_t micros_ = 0;
};

// A point in time on a clock given by the host, with an arbitrary epoch.
class Instant {
 public:
  constexpr Instant() = default;

  [[nodiscard]] static Instant at_seconds(double s) { return Instant{Span::seconds(s).micros_}; }

  constexpr auto operator<=>(const Instant&) const = default;
  constexpr Instant operator+(Span span) const { return Instant{micros_ + span.micros_}; }
  constexpr Instant operator-(Span span) const { return Instant{micros_ - span.micros_}; }
  constexpr Span operator-(Instant other) const { return Span{micros_ - other.micros_}; }

 private:
  constexpr explicit Instant(std::int64_t micros) : micros_{micros} {}

  std::int64_t micros_ = 0;
};

}  // namespace gorsemount

#include "recovery/age.hpp"

#include <cstdlib>

namespace gorsemount::recovery {

namespace {

// NTP slews a clock by far less than a minute; a larger difference is a manual change or the first
// synchronization after boot.
constexpr std::int64_t kMaxWallAdjustmentUs = 60'000'000;

}  // namespace

Age age_of(const ClockReading& then, const ClockReading& now) {
  const std::int64_t wall = now.wall_us - then.wall_us;
  if (!then.boot_id.empty() && then.boot_id == now.boot_id) {
    const std::int64_t mono = now.monotonic_us - then.monotonic_us;
    if (mono < 0) return {{}, "the monotonic clock went backwards within one boot"};
    const bool jumped = std::llabs(wall - mono) > kMaxWallAdjustmentUs;
    return {Span::micros(mono),
            jumped ? "the wall clock was changed since; the age is from the monotonic clock" : ""};
  }
  if (wall < 0) return {{}, "the wall clock is earlier than the time of writing"};
  return {Span::micros(wall), ""};
}

}  // namespace gorsemount::recovery

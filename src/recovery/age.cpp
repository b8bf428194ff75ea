#include "recovery/age.hpp"

#include <cstdlib>

namespace gorsemount::recovery {

namespace {

// NTP slews a clock by far less than a minute; a larger difference is a manual change or the first
// synchronization after boot.
constexpr std::int64_t kMaxWallAdjustmentUs = 60'000'000;

}  // namespace

Age age_of(const ClockReading& then, const ClockReading& now) {
  const std::int64_t wall_elapsed_us = now.wall_us - then.wall_us;
  if (!then.boot_id.empty() && then.boot_id == now.boot_id) {
    const std::int64_t monotonic_elapsed_us = now.monotonic_us - then.monotonic_us;
    if (monotonic_elapsed_us < 0) return {{}, "the monotonic clock went backwards within one boot"};
    const bool jumped = std::llabs(wall_elapsed_us - monotonic_elapsed_us) > kMaxWallAdjustmentUs;
    return {Span::micros(monotonic_elapsed_us),
            jumped ? "the wall clock was changed since; the age is from the monotonic clock" : ""};
  }
  if (wall_elapsed_us < 0) return {{}, "the wall clock is earlier than the time of writing"};
  return {Span::micros(wall_elapsed_us), ""};
}

}  // namespace gorsemount::recovery

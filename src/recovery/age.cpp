#include "recovery/age.hpp"

#include <cstdlib>

namespace gorsemount::recovery {

namespace {

// A disciplined clock is slewed by far less; a minute is somebody's hand, or a network's first answer after a
// boot.
constexpr std::int64_t kJump = 60'000'000;

}  // namespace

Age age_of(const ClockReading& then, const ClockReading& now) {
  const std::int64_t wall = now.wall_us - then.wall_us;
  if (!then.boot_id.empty() && then.boot_id == now.boot_id) {
    const std::int64_t mono = now.monotonic_us - then.monotonic_us;
    if (mono < 0) return {{}, "the monotonic clock went back within one boot"};
    const bool jumped = std::llabs(wall - mono) > kJump;
    return {Span::micros(mono), jumped ? "the wall clock was moved since; the monotonic one counts" : ""};
  }
  if (wall < 0) return {{}, "the wall clock stands before the moment of writing"};
  return {Span::micros(wall), ""};
}

}  // namespace gorsemount::recovery

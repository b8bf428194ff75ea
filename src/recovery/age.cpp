#include "recovery/age.hpp"

#include <cstdlib>

namespace gorsemount::recovery {

namespace {

// A disciplined clock is slewed by far less; a minute is somebody's hand, or a network's first answer after a
// boot.
constexpr std::int64_t kJump = 60'000'000;

}  // namespace

Age age_of(const Clocks& then, const Clocks& now) {
  const std::int64_t wall = now.wall - then.wall;
  if (!then.boot.empty() && then.boot == now.boot) {
    const std::int64_t mono = now.mono - then.mono;
    if (mono < 0) return {{}, "the monotonic clock went back within one boot"};
    const bool jumped = std::llabs(wall - mono) > kJump;
    return {Span::micros(mono), jumped ? "the wall clock was moved since; the monotonic one counts" : ""};
  }
  if (wall < 0) return {{}, "the wall clock stands before the moment of writing"};
  return {Span::micros(wall), ""};
}

}  // namespace gorsemount::recovery

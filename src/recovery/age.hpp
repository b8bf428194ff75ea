// Decides how old a memory is, from three clocks of which two may lie: the monotonic one, which counts only
// within one boot, and the wall clock, which people and networks move.
#pragma once

#include <optional>
#include <string>

#include "core/time.hpp"

namespace gorsemount::recovery {

struct ClockReading {
  std::string boot_id;            // of the machine
  std::int64_t monotonic_us = 0;  // micros since then
  std::int64_t wall_us = 0;       // micros since 1970
};
struct Age {
  std::optional<Span> elapsed;  // absent: nobody can tell, so nothing acts
  std::string clock_anomaly;    // what is odd about the clocks; empty: nothing
};
[[nodiscard]] Age age_of(const ClockReading& then, const ClockReading& now);

}  // namespace gorsemount::recovery

// Computes the age of stored facts from two clock readings. The monotonic clock counts only within one boot;
// the wall clock may have been set by an operator or by NTP.
#pragma once

#include <optional>
#include <string>

#include "core/time.hpp"

namespace gorsemount::recovery {

struct ClockReading {
  std::string boot_id;
  std::int64_t monotonic_us = 0;  // since boot
  std::int64_t wall_us = 0;       // since the Unix epoch
};
struct Age {
  std::optional<Span> elapsed;  // absent: unknown, so no stored fact is applied
  std::string clock_anomaly;    // empty: none
};
[[nodiscard]] Age age_of(const ClockReading& then, const ClockReading& now);

}  // namespace gorsemount::recovery

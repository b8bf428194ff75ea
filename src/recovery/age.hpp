// Decides how old a memory is, from three clocks of which two may lie: the monotonic one, which counts only
// within one boot, and the wall clock, which people and networks move.
#pragma once

#include <optional>
#include <string>

#include "core/time.hpp"

namespace gorsemount::recovery {

struct Clocks {
  std::string boot;       // of the machine
  std::int64_t mono = 0;  // micros since then
  std::int64_t wall = 0;  // micros since 1970
};
struct Age {
  std::optional<Span> span;  // absent: nobody can tell, so nothing acts
  std::string doubt;         // what is odd about the clocks; empty: nothing
};
[[nodiscard]] Age age_of(const Clocks& then, const Clocks& now);

}  // namespace gorsemount::recovery

// What to compare with: every ready backend at its listed weight, from the moment it is listed; no ladder, no
// ramp, no levels. It is what weights in a plain zone file do.
#pragma once

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

[[nodiscard]] Decide fixed_weights();

}  // namespace gorsemount::coordinator

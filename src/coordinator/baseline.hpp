// What to compare with: every ready backend at its listed weight, from the moment it is listed; no ladder, no
// ramp, no levels. It is what weights in a plain zone file do.
#pragma once

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

[[nodiscard]] DecisionMaker fixed_weights();
// The same, and each proxy is given its own zone's backends only. With none of them left the coordinator's
// guard of rule 1 stands in, as it does for any that decides.
[[nodiscard]] DecisionMaker zone_local();

}  // namespace gorsemount::coordinator

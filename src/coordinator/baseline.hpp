// Baselines to compare the policy with. fixed_weights: every ready backend at its listed weight as soon as it
// is listed, without health-based weights, slow start or admission levels, like weights in a static zone
// file.
#pragma once

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

[[nodiscard]] DecisionMaker fixed_weights();
// As fixed_weights, but each proxy gets only the backends of its own zone. If none of them is left, the
// coordinator's fallback lines apply, as with any other decision maker.
[[nodiscard]] DecisionMaker zone_local();

}  // namespace gorsemount::coordinator

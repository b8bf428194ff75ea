// Replays a recording: steps a coordinator with the recorded inputs and settings, and compares its orders.
#pragma once

#include <cstddef>
#include <string>

#include "record/file.hpp"

namespace gorsemount::lab {

struct StepReplay {
  std::size_t compared = 0;
  std::string difference;  // describes the first step whose orders differ; empty: none
  std::string stopped;     // why the comparison ended early; empty: all steps were compared
};
// Throws std::runtime_error for recorded settings or inputs that can't be read.
[[nodiscard]] StepReplay replay_steps(const record::Recording& recording);

}  // namespace gorsemount::lab

// A recording stepped again with the very inputs, under the settings that were recorded with it.
#pragma once

#include <cstddef>
#include <string>

#include "record/file.hpp"

namespace gorsemount::lab {

struct StepReplay {
  std::size_t compared = 0;
  std::string
      difference;       // of the first step that ordered otherwise: its input, and both orders; empty: none
  std::string stopped;  // why nothing could be compared from some step on; empty: all was
};
// Throws std::runtime_error for settings that can't be read.
[[nodiscard]] StepReplay replay_steps(const record::Recording& recording);

}  // namespace gorsemount::lab

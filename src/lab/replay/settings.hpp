// Settings for a replay: those that a day implies, or a file's, with single values put in their place.
#pragma once

#include <string>
#include <vector>

#include "coordinator/types.hpp"
#include "script/day.hpp"

namespace gorsemount::lab {

// `block.name=value`, such as rules.drain_grace=2s or coordinator.levels=share. Throws std::runtime_error
// that names what of it is not understood.
struct Override {
  std::string block, name, value;
};
[[nodiscard]] Override read_override(const std::string& text);

// The text with the value in place. Blocks without labels only.
[[nodiscard]] std::string apply_override(std::string text, const Override& change);

// Coordinator `number` of the day: by `config` (the text of a settings file; empty: what the day implies)
// with the changes. Who is there is the day's in any case. Throws std::runtime_error with the fault's place.
[[nodiscard]] coordinator::Settings settings_for(const script::Day& day, std::size_t number,
                                                 const std::string& config,
                                                 const std::vector<Override>& changes);

}  // namespace gorsemount::lab

// Settings for a replay: those that a day implies or those of a file, with single values overridden.
#pragma once

#include <string>
#include <vector>

#include "coordinator/types.hpp"
#include "script/day.hpp"

namespace gorsemount::lab {

// `block.name=value`, such as rules.drain_grace=2s or coordinator.levels=share. Throws std::runtime_error
// if the text has another form.
struct Override {
  std::string block, name, value;
};
[[nodiscard]] Override read_override(const std::string& text);

// Sets the value in the text of a settings file. Supports only blocks without labels.
[[nodiscard]] std::string apply_override(const std::string& text, const Override& change);

// Settings of coordinator `number` of the day, from `config` (text of a settings file; empty: the settings
// that the day implies) with the changes. Zones, groups, forwarders, operations, the seed and the number of
// coordinators always come from the day. Throws std::runtime_error with the position of a fault.
[[nodiscard]] coordinator::Settings settings_for(const script::Day& day, std::size_t number,
                                                 const std::string& config,
                                                 const std::vector<Override>& changes);

}  // namespace gorsemount::lab

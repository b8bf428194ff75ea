// Reads the settings object that the simulator's adapter and the platform's configuration share into the
// decision module's Settings.
#pragma once

#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "settings_json/fields.hpp"

namespace gorsemount {

// Names of zones and operations, indexed by the ids that the module uses.
struct IdNames {
  std::vector<std::string> zones, operations;
};

[[nodiscard]] Settings read_settings(const Fields& config);  // throws FieldError
[[nodiscard]] IdNames read_id_names(const Fields& config);   // throws FieldError

}  // namespace gorsemount

// The settings object that both the bench's adapter and the platform's configuration hold, to the module's
// Settings.
#pragma once

#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "settings_json/fields.hpp"

namespace gorsemount {

// Names by place: what the module knows as numbers.
struct IdNames {
  std::vector<std::string> zones, operations;
};

[[nodiscard]] Settings read_settings(const Fields& config);  // throws FieldError
[[nodiscard]] IdNames read_id_names(const Fields& config);   // throws FieldError

}  // namespace gorsemount

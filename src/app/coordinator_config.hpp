// What the platform tells a coordinator: the file that GW_CONFIG names, and variables for what it leaves out.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/address.hpp"
#include "discovery/backend_list.hpp"
#include "settings_json/settings.hpp"

namespace gorsemount::app {

struct CoordinatorConfig {
  std::string name;
  Endpoint listen, discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::optional<discovery::BackendList> known;
  Settings settings;
  IdNames labels;
  std::string settings_text;  // to tell whether they changed
};

using Environment = std::function<std::optional<std::string>(const char* name)>;

// Throws std::runtime_error that names the file and what is wrong where.
[[nodiscard]] CoordinatorConfig read_coordinator_config(const Environment& environment);
[[nodiscard]] CoordinatorConfig parse_coordinator_config(const std::string& text,
                                                         const Environment& environment);

}  // namespace gorsemount::app

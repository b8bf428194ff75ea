// Configuration of `gorsemount coordinator`: the JSON file that GW_CONFIG names, with environment variables
// for values that the file omits.
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
  std::size_t max_sockets = 1024;
  std::size_t memory_mb = 256;  // MiB, of the whole process
  std::optional<discovery::BackendList> initial_backends;
  Settings settings;
  IdNames id_names;
  std::string settings_text;  // compared on reload to detect changes
};

using Environment = std::function<std::optional<std::string>(const char* name)>;

// Throws std::runtime_error with the file, the field and the reason.
[[nodiscard]] CoordinatorConfig read_coordinator_config(const Environment& environment);
[[nodiscard]] CoordinatorConfig parse_coordinator_config(const std::string& text,
                                                         const Environment& environment);

}  // namespace gorsemount::app

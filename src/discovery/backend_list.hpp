// The list of backends from the discovery service, parsed from JSON. Hosts and zones stay strings here.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gorsemount::discovery {

enum class Health { ready, draining, gone };

struct Row {
  std::string host, zone;
  Health health = Health::ready;
  double weight = 1;
  std::int64_t started_ms = 0;  // Unix time in ms; 0 if it is long ago
};

struct BackendList {
  std::uint64_t version = 0;
  bool full = false;  // false: changes only
  std::vector<Row> rows;
};

// Throw FieldError or the JSON library's parse error. `path` names the value in errors.
[[nodiscard]] BackendList read_backend_list(const nlohmann::json& value, const std::string& path);
[[nodiscard]] BackendList read_backend_list(std::string_view text);

}  // namespace gorsemount::discovery

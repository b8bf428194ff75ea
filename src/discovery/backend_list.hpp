// Discovery's list of backends: its JSON to values. Names stay names here.
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
  std::int64_t started_ms = 0;  // Unix time; 0: long ago
};

struct BackendList {
  std::uint64_t version = 0;
  bool whole = false;  // else only what changed
  std::vector<Row> rows;
};

// Throw FieldError, or the JSON library's parse error.
[[nodiscard]] BackendList read_backend_list(const nlohmann::json& value, const std::string& where);
[[nodiscard]] BackendList read_backend_list(std::string_view text);

}  // namespace gorsemount::discovery

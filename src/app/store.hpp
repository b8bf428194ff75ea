// `gorsemount store ...`, and what `serve` shares with it.
#pragma once

#include <string>

#include "store/store.hpp"

namespace gorsemount::app {

struct StoreOptions {
  std::string action, folder, who, key_file;
};
[[nodiscard]] int store_tool(const StoreOptions& options);

// One line of 64 hex digits. Throws std::runtime_error.
[[nodiscard]] store::MacKey read_store_key(const std::string& file);
[[nodiscard]] recovery::ClockReading read_clocks();

}  // namespace gorsemount::app

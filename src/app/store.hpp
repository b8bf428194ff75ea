// `gorsemount store ...`: inspects a coordinator's stored facts; helpers that `serve` uses too.
#pragma once

#include <string>

#include "store/store.hpp"

namespace gorsemount::app {

struct StoreOptions {
  std::string action, folder, owner, key_file;
};
[[nodiscard]] int store_tool(const StoreOptions& options);

// Reads a key file: one line of 64 hex digits. Throws std::runtime_error.
[[nodiscard]] store::MacKey read_store_key(const std::string& file);
// The boot id with the current monotonic and wall-clock time.
[[nodiscard]] recovery::ClockReading read_clocks();

}  // namespace gorsemount::app

// `gorsemount serve`: the core under the loop, with its front, its sources and its signals.
#pragma once

#include <string>

namespace gorsemount::app {

struct ServeOptions {
  std::string config;
  bool fixed = false;  // fixed weights in place of the module, to compare with
};

// Runs until it is told to stop. Returns the exit code (docs/operating.md).
int serve(const ServeOptions& options);

// Prints every fault of the file, or that it is good. Returns the exit code.
int check(const std::string& config);
// Prints all values in force, with units and where each came from.
int explain_config(const std::string& config);

}  // namespace gorsemount::app

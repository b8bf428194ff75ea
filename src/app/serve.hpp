// `gorsemount serve`: runs the coordinator in an event loop with its DNS server, forwarder connections,
// health probes, cluster membership and signal handling.
#pragma once

#include <string>

namespace gorsemount::app {

struct ServeOptions {
  std::string config;
  bool fixed_weights = false;  // listed weights instead of the policy's decisions, as a baseline
};

// Runs until SIGTERM or SIGINT. Returns the exit code (docs/operating.md).
int serve(const ServeOptions& options);

// Prints every error in the settings and the roster, or that they are valid. Returns the exit code.
int check(const std::string& config);
// Prints all effective values, with units and the source of each.
int explain_config(const std::string& config);

}  // namespace gorsemount::app

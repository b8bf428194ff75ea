// `gorsemount coordinator`: a coordinator in service on a platform, by streams to its proxies.
#pragma once

namespace gorsemount::app {

// Runs until SIGTERM; returns the program's exit code.
[[nodiscard]] int coordinator();

}  // namespace gorsemount::app

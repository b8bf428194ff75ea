// `gorsemount coordinator`: runs the coordinator as a service that controls its proxies over streams.
#pragma once

namespace gorsemount::app {

// Blocks SIGHUP, SIGTERM and SIGINT until the event loop handles them. Call it first in main(), so that no
// signal can end the program before its handler is installed.
void block_signals();

// Runs until SIGTERM; returns the program's exit code.
[[nodiscard]] int coordinator();

}  // namespace gorsemount::app

// `gorsemount coordinator`: a coordinator in service on a platform, by streams to its proxies.
#pragma once

namespace gorsemount::app {

// To be called before all else, so that no signal can end the program before its handler stands: it waits
// till then.
void hold_signals();

// Runs until SIGTERM; returns the program's exit code.
[[nodiscard]] int coordinator();

}  // namespace gorsemount::app

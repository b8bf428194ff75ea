// The subcommands other than `coordinator`.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>

namespace gorsemount::app {

// Registers the subcommands on `app`. The returned object holds the options that the parser writes to and
// must outlive parsing and the command itself. `exit_code` receives the command's result.
[[nodiscard]] std::shared_ptr<void> add_commands(CLI::App& app, int& exit_code);

}  // namespace gorsemount::app

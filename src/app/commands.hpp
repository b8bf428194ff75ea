// The program's other subcommands.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>

namespace gorsemount::app {

// Returns what must live until the command line is read and the command has run. `code`: what it returned.
[[nodiscard]] std::shared_ptr<void> add_commands(CLI::App& app, int& code);

}  // namespace gorsemount::app

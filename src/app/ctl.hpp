// `gorsemount ctl`: sends operator commands to a running coordinator.
#pragma once

#include <string>
#include <vector>

namespace gorsemount::app {

struct CtlOptions {
  std::string socket, token_file;
  std::vector<std::string> words;
  bool complete = false;
};
// Prints the response. Returns the exit code: kExitCommandRefused if the command was refused or unknown.
int ctl(const CtlOptions& options);

}  // namespace gorsemount::app

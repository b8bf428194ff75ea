// `gorsemount ctl`: a person's commands to a running coordinator.
#pragma once

#include <string>
#include <vector>

namespace gorsemount::app {

struct CtlOptions {
  std::string socket, token_file;
  std::vector<std::string> words;
  bool complete = false;
};
// Prints the answer. Returns the exit code: kExitCommandRefused if the command was refused or not understood.
int ctl(const CtlOptions& options);

}  // namespace gorsemount::app

// Runs one scenario: all workers, forwarders and clients of a fleet in one process, on one event loop.
#pragma once

#include <string>

#include "script/day.hpp"

namespace gorsemount::standins {

struct PlayOptions {
  AddressPlan addresses;
  std::string folder;  // for the records and the roster
  Instant start;       // start of the scenario, shared by two fleets and their coordinators
  bool show = false;   // print the weights by zone once a second
};
// Returns when the scenario is over. Throws std::system_error if it can't listen.
void play(const Day& day, const PlayOptions& options);

}  // namespace gorsemount::standins

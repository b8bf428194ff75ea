// Plays one day: all workers and clients of a fleet in one process, on one loop.
#pragma once

#include <string>

#include "script/day.hpp"

namespace gorsemount::standins {

struct PlayOptions {
  AddressPlan places;
  std::string folder;  // for records and the roster
  Instant start;       // when the day begins, so that two fleets and their coordinators keep step
  bool show = false;   // a live line of weights by zone
};
// Returns when the day is over. Throws std::system_error if it can't listen.
void play(const Day& day, const PlayOptions& options);

}  // namespace gorsemount::standins

// `gorsemount day`: plays a scripted day on loopback, with the real coordinators as processes of their own
// and the stand-ins in another, beside the same day under fixed weights; then judges what passed on the
// sockets.
#pragma once

#include <string>
#include <vector>

namespace gorsemount::app {

struct DayOptions {
  std::string day;
  std::string folder;                // records, settings and logs; empty: one that is removed at the end
  std::vector<std::string> changes;  // of all coordinators' settings: block.name=value
  bool baseline = true;
  bool quiet = false;   // no live line
  unsigned octet = 20;  // of the loopback addresses used: 127.octet to 127.octet+19
};
// Returns the exit code: kExitInvalidConfig for a change that can't be, kExitRuleViolated if a rule broke
// under the module.
int day(const DayOptions& options);

}  // namespace gorsemount::app

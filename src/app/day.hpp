// `gorsemount day`: plays a scripted day on loopback, with each coordinator in its own process and the
// simulated workers, clients and forwarders in another. The same day runs in parallel under fixed weights as
// a baseline. The rules are then checked against what was recorded on the sockets.
#pragma once

#include <string>
#include <vector>

namespace gorsemount::app {

struct DayOptions {
  std::string day;
  std::string folder;                // records, settings and logs; empty: a temporary one, removed on success
  std::vector<std::string> changes;  // overrides of all coordinators' settings: block.name=value
  bool baseline = true;
  bool quiet = false;   // no progress line
  unsigned octet = 20;  // second byte of the loopback addresses: 127.octet to 127.octet+19
};
// Returns the exit code: kExitInvalidConfig for an invalid day file, kExitRuleViolated if a rule was violated
// by the coordinators under test.
int day(const DayOptions& options);

}  // namespace gorsemount::app

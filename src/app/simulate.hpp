// `gorsemount simulate`: runs a scripted day on a virtual clock with many seeds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gorsemount::app {

struct SimulateOptions {
  std::string day;
  std::uint64_t first_seed = 1;
  int seeds = 1, jobs = 1, fault_count = 0;  // jobs: runs in parallel; fault_count: random faults in each run
  bool fencing = true, durable = false;      // durable: a restarted coordinator recovers its stored facts
  std::string decider = "module";            // module, equal, zone-local or oracle
  std::vector<std::string> changes;          // overrides of the coordinators' settings: block.name=value
};
// Returns the same exit codes as `gorsemount day`.
[[nodiscard]] int simulate(const SimulateOptions& options);

}  // namespace gorsemount::app

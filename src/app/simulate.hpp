// `gorsemount simulate`: a scripted day under the virtual clock, over many seeds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gorsemount::app {

struct SimulateOptions {
  std::string day;
  std::uint64_t first = 1;
  int seeds = 1, jobs = 1, faults = 0;
  bool fences = true, keeps = false;
  std::string by = "module";         // module, equal, zone-local or oracle: what decides
  std::vector<std::string> changes;  // of the coordinators' settings: block.name=value
};
// Exit codes as for a day on loopback.
[[nodiscard]] int simulate(const SimulateOptions& options);

}  // namespace gorsemount::app

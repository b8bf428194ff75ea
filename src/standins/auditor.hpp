// Judges the rules from records alone: what stand-ins were sent and when, and the messages that coordinators
// wrote. It never asks a coordinator.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standins/day.hpp"
#include "standins/records.hpp"

namespace gorsemount::standins {

struct Verdict {
  std::string rule;
  bool kept = true;
  double worst = 0, limit = 0;  // in `unit`; kept while worst <= limit
  std::string unit, detail;
};
struct Count {
  double asked = 0, in_time = 0;  // billed value
  std::uint64_t invocations = 0, late = 0, errored = 0, limited = 0, no_line = 0;
  [[nodiscard]] double service() const { return asked > 0 ? in_time / asked : 1; }
};
struct Audit {
  std::vector<Verdict> verdicts;
  Count whole;
  std::map<std::string, Count> by_operation;
  std::vector<std::pair<std::string, Count>> by_phase;
  std::uint64_t disobedient_refused = 0;  // sent by clients that disobey to a worker that drains, refused there
  [[nodiscard]] bool kept() const;
};
[[nodiscard]] Audit audit(const Day& day, const std::vector<Record>& records);

}  // namespace gorsemount::standins

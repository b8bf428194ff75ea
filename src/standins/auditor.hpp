// Judges the rules from records alone: what stand-ins were sent and when, and the messages that coordinators
// wrote. It never asks a coordinator.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "script/day.hpp"
#include "standins/records.hpp"

namespace gorsemount::standins {

struct Verdict {
  std::string rule;
  bool kept = true;
  double worst = 0, limit = 0;  // in `unit`; kept while worst <= limit
  std::string unit, detail;
};
struct ServiceCounts {
  double offered_value = 0, value_in_time = 0;  // billed value
  std::uint64_t invocations = 0, late = 0, errored = 0, rate_limited = 0, no_line = 0;
  [[nodiscard]] double service() const { return offered_value > 0 ? value_in_time / offered_value : 1; }
};
// How long something took to show, s: by the middle one and the slowest.
struct ReactionTimes {
  std::vector<double> seconds;
  [[nodiscard]] double median() const;
  [[nodiscard]] double worst() const;
};
struct Audit {
  ReactionTimes
      crash_to_first_removal;  // from a worker's crash to the first list without it that a client got
  ReactionTimes crash_to_last_listing;  // and to the last list with it, before it came back
  ReactionTimes leaderless_times;       // forwarders: from a stream's end to the next one's beginning
  std::size_t cuts = 0;                 // orders that were cut at a byte
  ReactionTimes in_force;               // from the handing over of a table to the forwarder's last answer
  ReactionTimes
      drain_to_last_send;  // from the telling of a drain to the last invocation that an obedient client sent
  std::vector<Verdict> verdicts;
  ServiceCounts whole;
  std::map<std::string, ServiceCounts> by_operation;
  std::vector<std::pair<std::string, ServiceCounts>> by_phase;
  std::uint64_t disobedient_refused =
      0;  // sent by clients that disobey to a worker that drains, refused there
  [[nodiscard]] bool kept() const;
};
[[nodiscard]] Audit audit(const Day& day, const std::vector<Record>& records);

}  // namespace gorsemount::standins

// Checks the rules from the records alone: the requests that stand-ins received, with their times, and the
// messages that coordinators wrote. It never queries a coordinator.
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
// Times from a cause to its visible effect, s.
struct ReactionTimes {
  std::vector<double> seconds;
  [[nodiscard]] double median() const;
  [[nodiscard]] double worst() const;
};
struct Audit {
  // From a worker's crash to the first DNS answer without it that a client received.
  ReactionTimes crash_to_first_removal;
  // From a worker's crash to the last DNS answer that still listed it, before its restart.
  ReactionTimes crash_to_last_listing;
  ReactionTimes leaderless_times;  // of forwarders, from the end of one stream to the start of the next
  std::size_t cuts = 0;            // command batches cut off at a byte offset
  ReactionTimes in_force;          // from sending a table to the forwarder's last response
  // From the roster's announcement of a drain to the last invocation sent there by a compliant client.
  ReactionTimes drain_to_last_send;
  std::vector<Verdict> verdicts;
  ServiceCounts whole;
  std::map<std::string, ServiceCounts> by_operation;
  std::vector<std::pair<std::string, ServiceCounts>> by_phase;
  // Invocations of clients that ignore TTLs, rejected by a draining worker.
  std::uint64_t disobedient_refused = 0;
  [[nodiscard]] bool kept() const;
};
[[nodiscard]] Audit audit(const Day& day, const std::vector<Record>& records);

}  // namespace gorsemount::standins

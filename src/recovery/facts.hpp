// Facts that are persisted across restarts or replicated to other controllers, keyed by kind and name. Plain
// data: no I/O, no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "core/time.hpp"

namespace gorsemount::recovery {

enum class FactKind : std::uint8_t {
  zone_ladder,     // by zone
  backend_ladder,  // by backend
  link_ladder,     // by "FROM>TO", zones
  cold_start,      // by backend; times: started
  drain,           // by backend
  carried,         // fleet-wide: the throughput measured at full utilization
  usual_rate,      // by proxy; invocations per second
  sent_table,      // by forwarder; the last version sent to it
  held_table,      // by forwarder; the last version that it reported to have applied
  further_tries,   // by forwarder; its retry ratio, where it differs from the configured one
  person_weight,   // by backend; times: until, ordered
  person_out,      // by backend; times: ordered
  person_zone,     // by zone; times: since, ordered
  hold,            // of the coordinator; times: ordered
  group_seen,      // by group; times: seen
  group_table,     // by group; the number of its table
  table_lines,     // by "TABLE/PART"; figures: backend to weight
  table_levels,    // by table; figures: level and tries by operation
  fleet            // number of backends
};
inline constexpr std::size_t kFactKindCount = 19;
[[nodiscard]] const char* name_of(FactKind kind);

struct Subject {
  FactKind kind = FactKind::fleet;
  std::string name;
  auto operator<=>(const Subject&) const = default;
};

struct Fact {
  std::string instance;  // the host it was learned of; it does not apply to another host of that name
  std::map<std::string, double> figures;
  std::map<std::string, Instant> times;  // on the local clock
};
using Facts = std::map<Subject, Fact>;

// A fact in a log, which holds one entry per subject: the one with the highest sequence.
struct Entry {
  Subject subject;
  Fact fact;
  Instant learned;             // when the fact took this value
  std::uint64_t sequence = 0;  // from 1
  bool deleted = false;        // tombstone: the fact no longer holds
};

}  // namespace gorsemount::recovery

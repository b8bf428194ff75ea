// What is worth keeping longer than one process, or worth telling another controller: facts by kind and name,
// in plain types. No I/O, no clock.
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
  carried,         // of the fleet: what full use of it has carried
  usual_rate,      // by proxy; invocations a second
  sent_table,      // by forwarder; the version that it was sent
  held_table,      // by forwarder; the version that it last said it holds
  further_tries,   // by forwarder; the part of its first tries that it may try again, where that is not the
                   // usual
  person_weight,   // by backend; times: until, ordered
  person_out,      // by backend; times: ordered
  person_zone,     // by zone; times: since, ordered
  hold,            // of the coordinator; times: ordered
  group_seen,      // by group; times: seen
  group_table,     // by group; the number of its table
  table_lines,     // by "TABLE/PART"; figures: backend to weight
  table_levels,    // by table; figures: level and tries by operation
  fleet            // how many backends there are
};
inline constexpr std::size_t kFactKindCount = 19;
[[nodiscard]] const char* name_of(FactKind kind);

struct Subject {
  FactKind kind = FactKind::fleet;
  std::string name;
  auto operator<=>(const Subject&) const = default;
};

struct Fact {
  std::string instance;  // of which machine it speaks; of another one it says nothing
  std::map<std::string, double> figures;
  std::map<std::string, Instant> times;  // on the clock of whoever holds the fact
};
using Facts = std::map<Subject, Fact>;

// A fact as it stands in a log: each subject once, at its newest sequence.
struct Entry {
  Subject subject;
  Fact fact;
  Instant learned;             // when it became so
  std::uint64_t sequence = 0;  // above 0
  bool deleted = false;        // it is no longer so
};

}  // namespace gorsemount::recovery

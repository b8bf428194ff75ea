// Turns the cumulative counters of a forwarder into differences since the last snapshot, and detects restarts
// and inconsistent counters.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "coordinator/types.hpp"

namespace gorsemount::forwarders {

struct ServerCounters {
  std::uint64_t tries = 0, errored = 0;
  Span mean_latency;
};
struct CounterSnapshot {
  std::map<std::pair<std::string, std::string>, ServerCounters> servers;  // by operation and worker
  std::map<std::string, std::uint64_t> arrivals;                          // by operation
  std::map<std::string, std::uint64_t> retries;                           // by operation
};

class CounterTracker {
 public:
  struct Delta {
    bool restarted = false;
    bool inconsistent = false;  // a server has more errored than tries; the snapshot is ignored
    CounterSnapshot counts;     // differences to the last snapshot
  };
  // The first snapshot, and the first after a restart, only set the baseline and yield no counts.
  [[nodiscard]] Delta update(const CounterSnapshot& snapshot);
  void reset() { last_.reset(); }

 private:
  std::optional<CounterSnapshot> last_;
};

}  // namespace gorsemount::forwarders

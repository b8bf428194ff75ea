#include "forwarders/counters.hpp"

#include <algorithm>

namespace gorsemount::forwarders {

CounterTracker::Delta CounterTracker::update(const CounterSnapshot& snapshot) {
  Delta delta;
  for (const auto& [key, current] : snapshot.servers)
    if (current.errored > current.tries) delta.inconsistent = true;
  if (delta.inconsistent) return delta;
  if (last_) {
    for (const auto& [key, current] : snapshot.servers) {
      const auto previous = last_->servers.find(key);
      if (previous == last_->servers.end()) {
        delta.counts.servers[key] = current;  // added since the last snapshot, so the whole count is new
        continue;
      }
      if (current.tries < previous->second.tries || current.errored < previous->second.errored)
        delta.restarted = true;
      // A try may start before the last snapshot and end in an error after it. It counts when its outcome is
      // known, so there are never fewer tries than errors.
      const std::uint64_t errored = current.errored - previous->second.errored;
      delta.counts.servers[key] = {std::max(current.tries - previous->second.tries, errored), errored,
                                   current.mean_latency};
    }
    for (const auto& [operation, current] : snapshot.arrivals) {
      const auto previous = last_->arrivals.find(operation);
      const std::uint64_t before = previous == last_->arrivals.end() ? 0 : previous->second;
      if (current < before) delta.restarted = true;
      delta.counts.arrivals[operation] = current - before;
    }
    for (const auto& [operation, current] : snapshot.retries) {
      const auto previous = last_->retries.find(operation);
      const std::uint64_t before = previous == last_->retries.end() ? 0 : previous->second;
      if (current < before) delta.restarted = true;
      delta.counts.retries[operation] = current - before;
    }
    if (delta.restarted) delta.counts = {};
  }
  last_ = snapshot;
  return delta;
}

}  // namespace gorsemount::forwarders

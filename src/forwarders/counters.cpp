#include "forwarders/counters.hpp"

#include <algorithm>

namespace gorsemount::forwarders {

Counters::Told Counters::read(const Reading& reading) {
  Told told;
  for (const auto& [key, now] : reading.servers)
    if (now.errored > now.tries) told.impossible = true;
  if (told.impossible) return told;
  if (last_) {
    for (const auto& [key, now] : reading.servers) {
      const auto was = last_->servers.find(key);
      if (was == last_->servers.end()) {
        told.since.servers[key] = now;  // a line that was added since: all of its count is news
        continue;
      }
      if (now.tries < was->second.tries || now.errored < was->second.errored) told.restarted = true;
      // What errored now may have been tried before the last reading: a try counts when it is known how it
      // ended.
      const std::uint64_t errored = now.errored - was->second.errored;
      told.since.servers[key] = {std::max(now.tries - was->second.tries, errored), errored, now.mean_latency};
    }
    for (const auto& [operation, now] : reading.arrived) {
      const auto was = last_->arrived.find(operation);
      const std::uint64_t before = was == last_->arrived.end() ? 0 : was->second;
      if (now < before) told.restarted = true;
      told.since.arrived[operation] = now - before;
    }
    for (const auto& [operation, now] : reading.further) {
      const auto was = last_->further.find(operation);
      const std::uint64_t before = was == last_->further.end() ? 0 : was->second;
      if (now < before) told.restarted = true;
      told.since.further[operation] = now - before;
    }
    if (told.restarted) told.since = {};
  }
  last_ = reading;
  return told;
}

}  // namespace gorsemount::forwarders

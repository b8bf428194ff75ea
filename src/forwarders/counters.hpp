// Decides what a forwarder's counters say since they were last read: differences as evidence, a restart where
// they jumped back, nothing where they can't be.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "coordinator/types.hpp"

namespace gorsemount::forwarders {

struct ServerCount {
  std::uint64_t tries = 0, errored = 0;
  Span mean_latency;
};
struct Reading {
  std::map<std::pair<std::string, std::string>, ServerCount> servers;  // by operation, by worker
  std::map<std::string, std::uint64_t> arrived;                        // by operation
  std::map<std::string, std::uint64_t> further;                        // by operation: tries beyond the first
};

class Counters {
 public:
  struct Told {
    bool restarted = false;
    bool impossible = false;  // more errored than tried in all: nothing of it is told
    Reading since;            // differences
  };
  // The first reading, and one after a restart, tell nothing: what was counted before is no news.
  [[nodiscard]] Told read(const Reading& reading);
  void forget() { last_.reset(); }

 private:
  std::optional<Reading> last_;
};

}  // namespace gorsemount::forwarders

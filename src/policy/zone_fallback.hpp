// Which backends stand in for a zone in the table of a subset that has no warm line of that zone. Needed
// where an operation may only be served in the proxy's zone: its proxies would have no line for it.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/ids.hpp"

namespace gorsemount {

class ZoneFallback {
 public:
  struct Candidate {
    BackendId backend;
    ZoneId zone;
    std::size_t subset = 0;  // the subset that the backend belongs to
    double weight = 0;       // as listed
    double share = 0;        // of its weight in its own table; 0 if a share controller has removed it
  };

  // Takes a ready, warm backend.
  void add(const Candidate& candidate);

  // The zone's backends in the one subset that `subset` borrows from: its own, else the one with most weight
  // for each table that uses it. Backends with a share of 0 are chosen only if the zone has no others. Empty
  // if the zone has no candidates. Each call counts as another table that uses the chosen subset.
  [[nodiscard]] std::vector<Candidate> choose(ZoneId zone, std::size_t subset);

 private:
  struct SubsetGroup {
    std::vector<Candidate> candidates;
    std::size_t tables = 1;  // that use these backends
  };
  using Groups = std::map<std::size_t, SubsetGroup>;  // by subset

  [[nodiscard]] static std::vector<Candidate> choose_from(Groups& groups, std::size_t subset);

  std::map<ZoneId, Groups> in_use_, removed_;  // with a share above 0; with a share of 0
};

}  // namespace gorsemount

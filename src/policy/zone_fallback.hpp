// Which backends of a zone stand in for those of a subset, in the tables for operations that only the proxy's
// zone may serve.
#pragma once

#include <array>
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
    double share = 0;        // as its share controller has it; 0 if it was removed
  };

  // Takes a ready, warm backend.
  void add(const Candidate& candidate);

  // The zone's backends in the one subset that `subset` borrows from: those at full share, from the subset
  // with most weight for each table that uses it. If the zone has none, and the subset has no warm line of
  // its own either, those at a reduced share, last the removed ones; here its own backends come first. Each
  // call counts as another table that uses the chosen subset.
  [[nodiscard]] std::vector<Candidate> choose(ZoneId zone, std::size_t subset, bool has_warm_line);

 private:
  enum Tier : std::size_t { full_share, reduced, removed, tier_count };
  struct SubsetGroup {
    std::vector<Candidate> candidates;
    std::size_t tables = 1;  // that use these backends
  };
  using Groups = std::map<std::size_t, SubsetGroup>;  // by subset

  [[nodiscard]] static std::vector<Candidate> choose_from(Groups& groups, std::size_t subset);

  std::map<ZoneId, std::array<Groups, tier_count>> zones_;
};

}  // namespace gorsemount

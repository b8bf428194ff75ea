// Listed weight of the ready backends in each subset, for the assignment of new backends to subsets.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/ids.hpp"

namespace gorsemount {

class SubsetWeights {
 public:
  // `subset_count` is at least 1.
  explicit SubsetWeights(std::size_t subset_count) : totals_(subset_count) {}

  void add(ZoneId zone, std::size_t subset, double weight);
  void remove(ZoneId zone, std::size_t subset, double weight) { add(zone, subset, -weight); }

  // The subset with the least weight in the zone, then in total; the first of several.
  [[nodiscard]] std::size_t lightest(ZoneId zone) const;

 private:
  std::vector<double> totals_;
  std::map<ZoneId, std::vector<double>> by_zone_;
};

}  // namespace gorsemount

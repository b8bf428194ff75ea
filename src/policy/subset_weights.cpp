#include "policy/subset_weights.hpp"

#include <utility>

namespace gorsemount {

void SubsetWeights::add(ZoneId zone, std::size_t subset, double weight) {
  auto& in_zone = by_zone_[zone];
  in_zone.resize(totals_.size());
  in_zone[subset] += weight;
  totals_[subset] += weight;
}

std::size_t SubsetWeights::lightest(ZoneId zone) const {
  const auto in_zone = by_zone_.find(zone);
  const auto weight_of = [&](std::size_t subset) {
    return std::pair{in_zone == by_zone_.end() ? 0 : in_zone->second[subset], totals_[subset]};
  };
  std::size_t lightest = 0;
  for (std::size_t subset = 1; subset < totals_.size(); ++subset)
    if (weight_of(subset) < weight_of(lightest)) lightest = subset;
  return lightest;
}

}  // namespace gorsemount

#include "policy/zone_fallback.hpp"

namespace gorsemount {

void ZoneFallback::add(const Candidate& candidate) {
  auto& zones = candidate.share > 0 ? in_use_ : removed_;
  zones[candidate.zone][candidate.subset].candidates.push_back(candidate);
}

std::vector<ZoneFallback::Candidate> ZoneFallback::choose(ZoneId zone, std::size_t subset) {
  if (const auto groups = in_use_.find(zone); groups != in_use_.end())
    return choose_from(groups->second, subset);
  if (const auto groups = removed_.find(zone); groups != removed_.end())
    return choose_from(groups->second, subset);
  return {};
}

std::vector<ZoneFallback::Candidate> ZoneFallback::choose_from(Groups& groups, std::size_t subset) {
  if (const auto own = groups.find(subset); own != groups.end()) return own->second.candidates;
  SubsetGroup* best = nullptr;
  double best_weight = 0;
  for (auto& [lender, group] : groups) {
    double weight = 0;
    for (const auto& candidate : group.candidates)
      weight += candidate.weight * (candidate.share > 0 ? candidate.share : 1);
    weight /= static_cast<double>(group.tables);
    if (best != nullptr && weight <= best_weight) continue;
    best = &group;
    best_weight = weight;
  }
  ++best->tables;
  return best->candidates;
}

}  // namespace gorsemount

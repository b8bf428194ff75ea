#include "policy/zone_fallback.hpp"

namespace gorsemount {

void ZoneFallback::add(const Candidate& candidate) {
  const Tier tier = candidate.share >= 1 ? full_share : candidate.share > 0 ? reduced : removed;
  zones_[candidate.zone][tier][candidate.subset].candidates.push_back(candidate);
}

std::vector<ZoneFallback::Candidate> ZoneFallback::choose(ZoneId zone, std::size_t subset,
                                                          bool has_warm_line) {
  const auto it = zones_.find(zone);
  if (it == zones_.end()) return {};
  auto& tiers = it->second;
  if (!tiers[full_share].empty()) return choose_from(tiers[full_share], subset);
  if (has_warm_line) return {};
  return choose_from(tiers[reduced].empty() ? tiers[removed] : tiers[reduced], subset);
}

std::vector<ZoneFallback::Candidate> ZoneFallback::choose_from(Groups& groups, std::size_t subset) {
  if (const auto own = groups.find(subset); own != groups.end()) return own->second.candidates;
  SubsetGroup* best = nullptr;
  double best_weight = 0;
  for (auto& [lender, group] : groups) {
    double weight = 0;
    for (const auto& candidate : group.candidates) weight += candidate.weight;
    weight /= static_cast<double>(group.tables);
    if (best != nullptr && weight <= best_weight) continue;
    best = &group;
    best_weight = weight;
  }
  if (best == nullptr) return {};
  ++best->tables;
  return best->candidates;
}

}  // namespace gorsemount

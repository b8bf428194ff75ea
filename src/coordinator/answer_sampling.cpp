#include "coordinator/answer_sampling.hpp"

#include <algorithm>
#include <climits>
#include <cmath>
#include <iterator>
#include <map>

namespace gorsemount::coordinator {

namespace {

// Lines of each later tier in an answer: two, so that a backend that has just failed still leaves one to fail
// over to.
constexpr std::size_t kLinesPerLaterTier = 2;

// Systematic sampling: takes the line at each multiple of `step` of the cumulative weight of the lines in
// `eligible`, starting at `phase` steps.
template <class Select>
void systematic_sample(const std::vector<Line>& lines, const std::vector<bool>& eligible, double step,
                       double phase, std::size_t max_lines, Select select) {
  double next_point = phase * step, sum = 0;
  std::size_t taken = 0;
  for (std::size_t k = 0; k < lines.size() && taken < max_lines; ++k) {
    if (!eligible[k]) continue;
    sum += lines[k].weight;
    if (sum <= next_point) continue;
    select(k), ++taken;
    while (next_point < sum) next_point += step;
  }
}

}  // namespace

std::vector<SampledLine> sample_weighted(const std::vector<Line>& lines, std::size_t max_lines,
                                         double phase) {
  std::vector<SampledLine> sample;
  std::vector<bool> remaining(lines.size(), true);
  double weight = 0;
  for (const auto& line : lines) weight += line.weight;
  std::size_t places_left = max_lines;
  for (bool found_heavy = lines.size() > max_lines; found_heavy && places_left > 0;) {
    found_heavy = false;
    const double step = weight / static_cast<double>(places_left);
    for (std::size_t k = 0; k < lines.size() && places_left > 0; ++k) {
      if (!remaining[k] || lines[k].weight < step * (1 - 1e-12)) continue;
      sample.push_back({k, lines[k].weight});
      remaining[k] = false, weight -= lines[k].weight, --places_left, found_heavy = true;
      break;  // `step` has changed for the others
    }
  }
  if (lines.size() <= max_lines) {
    for (std::size_t k = 0; k < lines.size(); ++k) sample.push_back({k, lines[k].weight});
  } else if (places_left > 0 && weight > 0) {
    const double step = weight / static_cast<double>(places_left);
    systematic_sample(lines, remaining, step, phase, places_left, [&](std::size_t k) {
      sample.push_back({k, step});
    });
  }
  std::sort(sample.begin(), sample.end(),
            [](const SampledLine& a, const SampledLine& b) { return a.index < b.index; });
  return sample;
}

std::vector<SampledLine> sample_tiered(const std::vector<Line>& lines, std::size_t max_lines, double phase) {
  // The common case, checked first: answers can be needed at some hundred thousand a second.
  const bool single_tier =
      std::all_of(lines.begin(), lines.end(), [&](const Line& l) { return l.tier == lines.front().tier; });
  if (single_tier) return sample_weighted(lines, max_lines, phase);
  std::map<int, std::vector<std::size_t>> tiers;
  for (std::size_t k = 0; k < lines.size(); ++k) tiers[lines[k].tier].push_back(k);
  std::size_t places_left = max_lines;
  std::vector<SampledLine> sample;
  for (auto it = tiers.begin(); it != tiers.end() && places_left > 0; ++it) {
    const auto later = static_cast<std::size_t>(std::distance(std::next(it), tiers.end()));
    const std::size_t reserved =
        it == tiers.begin() ? std::min(places_left - 1, later * kLinesPerLaterTier) : 0;
    const std::size_t places =
        it == tiers.begin() ? places_left - reserved : std::min(places_left, kLinesPerLaterTier);
    std::vector<Line> tier_lines;
    for (const auto k : it->second) tier_lines.push_back(lines[k]);
    for (const auto& d : sample_weighted(tier_lines, places, phase))
      sample.push_back({it->second[d.index], d.weight}), --places_left;
  }
  std::sort(sample.begin(), sample.end(),
            [](const SampledLine& a, const SampledLine& b) { return a.index < b.index; });
  return sample;
}

std::vector<std::size_t> sample_uniform(const std::vector<Line>& lines, std::size_t max_lines, double phase) {
  std::vector<std::size_t> sample;
  double weight = 0, heaviest = 0;
  int first = INT_MAX;
  for (const auto& line : lines) first = std::min(first, line.tier);
  std::vector<bool> eligible;
  for (const auto& line : lines) {
    eligible.push_back(line.tier == first);  // address answers carry no tiers
    if (line.tier == first) weight += line.weight, heaviest = std::max(heaviest, line.weight);
  }
  if (heaviest <= 0) return sample;
  // With more places the heaviest line would need two of them, but an address is listed only once.
  const auto max_equal = static_cast<std::size_t>(std::max(1.0, std::floor(weight / heaviest + 1e-9)));
  const std::size_t n = std::min(max_lines, max_equal);
  systematic_sample(lines, eligible, weight / static_cast<double>(n), phase, n,
                    [&](std::size_t k) { sample.push_back(k); });
  return sample;
}

}  // namespace gorsemount::coordinator

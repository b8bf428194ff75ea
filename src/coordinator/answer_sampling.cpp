#include "coordinator/answer_sampling.hpp"

#include <algorithm>
#include <climits>
#include <cmath>
#include <iterator>
#include <map>

namespace gorsemount::coordinator {

namespace {

// Lines of each later tier in an answer: two, so that one that just went does not leave nobody.
constexpr std::size_t kTurnTo = 2;

// Places at every `step` of the running weight of those in `among`, from `phase` of a step on.
template <class Take>
void systematic(const std::vector<Line>& lines, const std::vector<bool>& among, double step, double phase,
                std::size_t most, Take take) {
  double edge = phase * step, sum = 0;
  std::size_t taken = 0;
  for (std::size_t k = 0; k < lines.size() && taken < most; ++k) {
    if (!among[k]) continue;
    sum += lines[k].weight;
    if (sum <= edge) continue;
    take(k), ++taken;
    while (edge < sum) edge += step;
  }
}

}  // namespace

std::vector<SampledLine> sample_weighted(const std::vector<Line>& lines, std::size_t most, double phase) {
  std::vector<SampledLine> drawn;
  std::vector<bool> rest(lines.size(), true);
  double weight = 0;
  for (const auto& line : lines) weight += line.weight;
  std::size_t left = most;
  for (bool again = lines.size() > most; again && left > 0;) {
    again = false;
    const double step = weight / static_cast<double>(left);
    for (std::size_t k = 0; k < lines.size() && left > 0; ++k) {
      if (!rest[k] || lines[k].weight < step * (1 - 1e-12)) continue;
      drawn.push_back({k, lines[k].weight});
      rest[k] = false, weight -= lines[k].weight, --left, again = true;
      break;  // the step of the others has changed
    }
  }
  if (lines.size() <= most) {
    for (std::size_t k = 0; k < lines.size(); ++k) drawn.push_back({k, lines[k].weight});
  } else if (left > 0 && weight > 0) {
    const double step = weight / static_cast<double>(left);
    systematic(lines, rest, step, phase, left, [&](std::size_t k) { drawn.push_back({k, step}); });
  }
  std::sort(drawn.begin(), drawn.end(),
            [](const SampledLine& a, const SampledLine& b) { return a.index < b.index; });
  return drawn;
}

std::vector<SampledLine> sample_tiered(const std::vector<Line>& lines, std::size_t most, double phase) {
  // The usual case, at the price of a look: answers are drawn by the hundred thousand a second.
  const bool one =
      std::all_of(lines.begin(), lines.end(), [&](const Line& l) { return l.tier == lines.front().tier; });
  if (one) return sample_weighted(lines, most, phase);
  std::map<int, std::vector<std::size_t>> tiers;
  for (std::size_t k = 0; k < lines.size(); ++k) tiers[lines[k].tier].push_back(k);
  std::size_t left = most;
  std::vector<SampledLine> drawn;
  for (auto it = tiers.begin(); it != tiers.end() && left > 0; ++it) {
    const auto later = static_cast<std::size_t>(std::distance(std::next(it), tiers.end()));
    const std::size_t kept = it == tiers.begin() ? std::min(left - 1, later * kTurnTo) : 0;
    const std::size_t places = it == tiers.begin() ? left - kept : std::min(left, kTurnTo);
    std::vector<Line> own;
    for (const auto k : it->second) own.push_back(lines[k]);
    for (const auto& d : sample_weighted(own, places, phase))
      drawn.push_back({it->second[d.index], d.weight}), --left;
  }
  std::sort(drawn.begin(), drawn.end(),
            [](const SampledLine& a, const SampledLine& b) { return a.index < b.index; });
  return drawn;
}

std::vector<std::size_t> sample_uniform(const std::vector<Line>& lines, std::size_t most, double phase) {
  std::vector<std::size_t> drawn;
  double weight = 0, heaviest = 0;
  int first = INT_MAX;
  for (const auto& line : lines) first = std::min(first, line.tier);
  std::vector<bool> among;
  for (const auto& line : lines) {
    among.push_back(line.tier == first);  // an address says nothing of tiers
    if (line.tier == first) weight += line.weight, heaviest = std::max(heaviest, line.weight);
  }
  if (heaviest <= 0) return drawn;
  // With more, the heaviest line would need two of the places, and an address is listed once.
  const auto fit = static_cast<std::size_t>(std::max(1.0, std::floor(weight / heaviest + 1e-9)));
  const std::size_t n = std::min(most, fit);
  systematic(lines, among, weight / static_cast<double>(n), phase, n,
             [&](std::size_t k) { drawn.push_back(k); });
  return drawn;
}

}  // namespace gorsemount::coordinator

#include "policy/evidence.hpp"

#include <algorithm>

namespace gorsemount {

TryStats Target::stats(std::size_t max_samples, Instant since) const {
  TryStats total;
  for (auto it = samples.rbegin(); it != samples.rend() && max_samples > 0 && it->begin_time() > since;
       ++it, --max_samples)
    total += it->stats;
  return total;
}

double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const auto position =
      values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size()));
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

}  // namespace gorsemount

// Selects the lines of one DNS answer when not all of them fit, so that the expected traffic of each line
// stays proportional to its weight.
#pragma once

#include <cstddef>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::coordinator {

// Low-discrepancy sequence in [0, 1): multiples of the golden ratio. Unlike random draws, even a few
// consecutive answers cover the whole weight evenly, so small groups get the intended shares too.
class LowDiscrepancySequence {
 public:
  [[nodiscard]] double next() {
    at_ += 0.6180339887498949;
    if (at_ >= 1) at_ -= 1;
    return at_;
  }

  [[nodiscard]] bool unused() const { return at_ == 0; }

 private:
  double at_ = 0;
};

struct SampledLine {
  std::size_t index = 0;  // index of the line in the input
  double weight = 0;      // weight of the line in this answer
};

// For clients that honour weights (SRV): `max_lines` lines. A line with at least 1 / `max_lines` of the total
// weight is always included, with its own weight; the others are included with a probability proportional to
// their weight (systematic sampling), all with the same weight.
[[nodiscard]] std::vector<SampledLine> sample_weighted(const std::vector<Line>& lines, std::size_t max_lines,
                                                       double phase);

// As sample_weighted, for lines in several tiers: most places go to the first tier, and a few are reserved
// for each later tier as failover targets.
[[nodiscard]] std::vector<SampledLine> sample_tiered(const std::vector<Line>& lines, std::size_t max_lines,
                                                     double phase);

// For clients that pick any address with equal probability (A, AAAA): as many lines as can get equal shares,
// at most `max_lines`.
[[nodiscard]] std::vector<std::size_t> sample_uniform(const std::vector<Line>& lines, std::size_t max_lines,
                                                      double phase);

}  // namespace gorsemount::coordinator

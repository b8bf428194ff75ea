// Decides which lines go into one answer, where not all do, so that each line's part of the traffic stays its
// weight's part of the whole.
#pragma once

#include <cstddef>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::coordinator {

// An even sequence of points in [0, 1): multiples of the golden ratio. Beside random draws it spreads any few
// answers in a row over the whole weight, so that small groups see the shares too.
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
  std::size_t index = 0;  // among the lines
  double weight = 0;      // in this answer
};

// For clients that honour weights (SRV): `most` lines. A line whose part is over one in `most` is always in,
// with its own weight; of the others each is in by its weight (systematic sampling) and weighs the same.
[[nodiscard]] std::vector<SampledLine> sample_weighted(const std::vector<Line>& lines, std::size_t most,
                                                       double phase);

// The same where lines stand in tiers: the first tier's share the places, but for a few that are kept for
// each later one, so that there is somewhere to turn when all of it fails.
[[nodiscard]] std::vector<SampledLine> sample_tiered(const std::vector<Line>& lines, std::size_t most,
                                                     double phase);

// For clients that take any address alike (A, AAAA): as many as can all be equal, `most` at the most.
[[nodiscard]] std::vector<std::size_t> sample_uniform(const std::vector<Line>& lines, std::size_t most,
                                                      double phase);

}  // namespace gorsemount::coordinator

// Compares a day under several settings, over the same seeds, with confidence intervals of the differences.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/replay/settings.hpp"
#include "lab/simulation/simulation.hpp"

namespace gorsemount::lab {

struct Variant {
  std::string name;
  std::string config;  // text of a settings file; empty: the settings that the day implies
  std::vector<Override> changes;
};
struct VariantResult {
  std::string name;
  std::vector<Outcome> outcomes;  // by seed
  Tally whole;
  std::vector<Tally> by_operation, by_zone, by_ten_seconds;
  double worst_ten_seconds = 1;  // lowest service in any 10 s, summed over the seeds
  std::vector<std::string> broken;
};
// Mean of the paired differences by seed, with its 95% confidence interval.
struct Difference {
  double mean = 0, low = 0, high = 0;
  [[nodiscard]] bool significant() const { return low > 0 || high < 0; }
};

// The result does not depend on the number of jobs. Throws std::runtime_error for invalid settings.
[[nodiscard]] std::vector<VariantResult> run_variants(const script::Day& day,
                                                      const std::vector<Variant>& variants, int seeds,
                                                      int jobs, const SimulationSettings& simulation,
                                                      const std::function<void(double)>& progress);
// Quantile of Student's t distribution, two-sided 95%, by degrees of freedom.
[[nodiscard]] double student_t95(std::size_t degrees);
[[nodiscard]] Difference difference(const VariantResult& a,
                                    const VariantResult& b);  // service of b less that of a

// Reports for a terminal, and as a self-contained HTML page.
[[nodiscard]] std::string text_report(const script::Day& day, const std::vector<VariantResult>& played);
[[nodiscard]] std::string html_report(const script::Day& day, const std::vector<VariantResult>& played,
                                      const std::string& remark);

}  // namespace gorsemount::lab

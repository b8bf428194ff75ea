// A day under two settings, over seeds that both share: what differs, and how surely.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/replay/settings.hpp"
#include "lab/simulation/simulation.hpp"

namespace gorsemount::lab {

struct Variant {
  std::string name;
  std::string config;  // the text of a settings file; empty: what the day implies
  std::vector<Override> changes;
};
struct Played {
  std::string name;
  std::vector<Outcome> outcomes;  // by seed
  Tally whole;
  std::vector<Tally> by_operation, by_zone, by_ten_seconds;
  double worst_ten_seconds = 1;  // of the seeds' means
  std::vector<std::string> broken;
};
// A mean of paired differences, seed by seed, with its interval at 95%.
struct Difference {
  double mean = 0, low = 0, high = 0;
  [[nodiscard]] bool sure() const { return low > 0 || high < 0; }
};

// The outcome is the same for any number of jobs. Throws std::runtime_error for settings that can't be.
[[nodiscard]] std::vector<Played> run_variants(const script::Day& day, const std::vector<Variant>& variants,
                                               int seeds, int jobs, const SimulationSettings& world,
                                               const std::function<void(double)>& progress);
// Student's t, two-sided 95%, by degrees of freedom.
[[nodiscard]] double t95(std::size_t degrees);
[[nodiscard]] Difference difference(const Played& a, const Played& b);  // b less a, of the service count

// For a terminal, and as one page of HTML that needs nothing else.
[[nodiscard]] std::string text_report(const script::Day& day, const std::vector<Played>& played);
[[nodiscard]] std::string html_report(const script::Day& day, const std::vector<Played>& played,
                                      const std::string& remark);

}  // namespace gorsemount::lab

// Shortens the simulation of a long day. Eventful windows are all simulated, quiet ones only in a seeded
// sample, and the service is an estimate with a confidence interval. Alternatively the day is scaled down to
// a fraction of its workers, clients, forwarders and lines.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/replay/compare.hpp"

namespace gorsemount::lab {

struct WindowPlan {
  Span length = Span::seconds(600);
  Span warm = Span::seconds(20);  // simulated before each window and not counted
  double part = 1;                // fraction of the quiet windows to simulate
  std::uint64_t seed = 1;
};
struct Window {
  Span from, to;
  bool eventful = false;
  std::size_t stratum = 0;  // quiet windows of one rate share a stratum; 0: eventful
  double stands_for = 1;    // number of windows that it represents, itself included
  bool operator==(const Window&) const = default;
};
// The windows to simulate, in order of time. Adjacent eventful windows are merged, so that the after-effects
// of a fault are simulated too.
[[nodiscard]] std::vector<Window> plan_windows(const script::Day& day, const WindowPlan& plan);
// A day for one window: `warm` before it, the window, and time for its last invocations to end. Faults that
// began earlier and still last begin at its start.
[[nodiscard]] script::Day window_day(const script::Day& day, const Window& window, Span warm);
// The day with numbers of workers, clients and forwarders and line limits divided by `times`, at the same
// utilization. Throws std::runtime_error if a block would be left empty.
[[nodiscard]] script::Day scaled_down(const script::Day& day, int times);

struct VariantEstimate {
  std::string name;
  Tally whole;  // extrapolated to the whole day
  std::vector<Tally> by_operation, by_zone;
  Difference service, against_first;  // with 95% intervals for the sampling of windows only
  double worst_ten_seconds = 1;
  std::vector<std::string> broken;
};
struct WindowedDay {
  std::vector<Window> windows;
  std::vector<VariantEstimate> variants;
  Span played, whole;  // simulated time with warm-up; length of the day
};
// The result does not depend on the number of jobs. Throws std::runtime_error for invalid settings.
[[nodiscard]] WindowedDay run_windows(const script::Day& day, const std::vector<Variant>& variants,
                                      const WindowPlan& plan, int jobs, const SimulationSettings& simulation,
                                      const std::function<void(double)>& progress);
[[nodiscard]] std::string text_report(const script::Day& day, const WindowedDay& played);

// Ratio estimate from a stratified sample, one row per window: the sum of `value` over the sum of `asked`.
struct SampledWindow {
  std::size_t stratum = 0;
  double stands_for = 1, value = 0, asked = 0;
};
[[nodiscard]] Difference ratio_estimate(const std::vector<SampledWindow>& rows);

}  // namespace gorsemount::lab

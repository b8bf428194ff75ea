// A long day in pieces: windows that something happens in are played whole, of the quiet ones a seeded
// sample, and the count is an estimate that says how sure it is. Or a thinned day: the same with so many
// times fewer of everything.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/replay/compare.hpp"

namespace gorsemount::lab {

struct WindowPlan {
  Span length = Span::seconds(600);
  Span warm = Span::seconds(20);  // played before each window and not counted
  double part = 1;                // of the quiet windows; 1: all of them
  std::uint64_t seed = 1;
};
struct Window {
  Span from, to;
  bool eventful = false;
  std::size_t stratum = 0;  // quiet windows alike: of one rate
  double stands_for = 1;    // windows, this one included
  bool operator==(const Window&) const = default;
};
// The windows to play, in the order of time. Neighbours in which something happens are one window: what a
// trouble leaves behind is then played and not assumed.
[[nodiscard]] std::vector<Window> plan_windows(const script::Day& day, const WindowPlan& plan);
// A day of its own: `warm` before the window, the window, and time for its last invocations to end. What
// began before and still lasts begins with it.
[[nodiscard]] script::Day day_of(const script::Day& day, const Window& window, Span warm);
// `times` fewer workers, clients, forwarders and lines; each as busy as before. Throws std::runtime_error if
// a block would be left with nobody.
[[nodiscard]] script::Day scaled_down(const script::Day& day, int times);

struct Windowed {
  std::string name;
  Tally whole;  // scaled to the whole day
  std::vector<Tally> by_operation, by_zone;
  Difference service, against_first;  // each with its 95% interval, of the sampling of windows alone
  double worst_ten_seconds = 1;
  std::vector<std::string> broken;
};
struct WindowedDay {
  std::vector<Window> windows;
  std::vector<Windowed> variants;
  Span played, whole;  // warming up included; of the day
};
// The outcome is the same for any number of jobs. Throws std::runtime_error for settings that can't be.
[[nodiscard]] WindowedDay run_windows(const script::Day& day, const std::vector<Variant>& variants,
                                      const WindowPlan& plan, int jobs, const SimulationSettings& world,
                                      const std::function<void(double)>& progress);
[[nodiscard]] std::string text_report(const script::Day& day, const WindowedDay& played);

// A stratified sample's sum of `value` over the sum of `asked`, a row a window. Free of the world, for tests.
struct Sampled {
  std::size_t stratum = 0;
  double stands_for = 1, value = 0, asked = 0;
};
[[nodiscard]] Difference ratio(const std::vector<Sampled>& rows);

}  // namespace gorsemount::lab

// Turns a recording into a day for the simulator. A scripted day is taken over as it is; otherwise the day is
// estimated from the recorded inputs, each figure with its method and its range.
#pragma once

#include <string>
#include <vector>

#include "lab/simulation/simulation.hpp"
#include "record/file.hpp"

namespace gorsemount::lab {

struct Estimate {
  std::string what, how;
  double value = 0, low = 0, high = 0;
};
struct FittedDay {
  script::Day day;
  bool scripted = false;
  std::vector<Estimate> estimates;
  std::vector<std::string> assumptions;  // what the recording doesn't contain, and what is assumed instead
};
// Throws std::runtime_error if the recording lacks the data or holds invalid settings.
[[nodiscard]] FittedDay fit(const record::Recording& recording);

// Compares a simulated day with the recorded one. They match if the service differs by at most 0.03 and each
// zone's share of the tries by at most 0.1; what-if results without a match are marked as such.
struct Calibration {
  struct Row {
    std::string what;
    double recorded = 0, played = 0;
  };
  std::vector<Row> rows;
  double service_error = 0, zone_error = 0;
  [[nodiscard]] bool matched() const { return service_error <= 0.03 && zone_error <= 0.1; }
};
[[nodiscard]] Calibration calibrate(const record::Recording& recording, const script::Day& day,
                                    const Outcome& played);

// The invocations of a simulated day as a recording, for other tools and for tests.
[[nodiscard]] record::Recording recording_of(const script::Day& day, const std::string& day_text,
                                             const Outcome& outcome);

}  // namespace gorsemount::lab

// From a recording to a day that the world can play. What was scripted is taken as it was; what was only
// recorded is estimated, each figure with how, and between what it may lie.
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
  std::vector<std::string> assumptions;  // what the recording can't tell, and what is assumed for it
};
// Throws std::runtime_error with what is missing.
[[nodiscard]] FittedDay fit(const record::Recording& recording);

// How far a played day is from the recorded one. Matched: the service count within 0.03 and each zone's part
// of the work within 0.1; else a what-if on it is marked.
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

// Of a day that was played, as a recording: for other tools, and for tests.
[[nodiscard]] record::Recording recording_of(const script::Day& day, const std::string& day_text,
                                             const Outcome& outcome);

}  // namespace gorsemount::lab

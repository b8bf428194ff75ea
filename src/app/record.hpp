// `gorsemount record ...`: inspects and transforms recordings. `gorsemount replay`: replays a day or a
// recording under its own and other settings.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gorsemount::app {

struct RecordOptions {
  std::string action, file, second_file, output_file, format = "csv", table = "invocations";
  double from_seconds = 0, to_seconds = 1e12;
};
[[nodiscard]] int record(const RecordOptions& options);

struct ReplayOptions {
  std::string day;                     // a scripted day (HCL) or a recording
  std::vector<std::string> config;     // settings files to compare; empty: the settings that the day implies
  std::vector<std::string> changes;    // overrides for the compared variant: block.name=value
  std::string sweep;                   // block.name=v1,v2,...
  std::string html_file, output_file;  // empty: not written
  int seeds = 8, jobs = 1;             // jobs: runs in parallel
  std::uint64_t first_seed = 1;
  bool check_determinism = false;      // step the recorded inputs and compare the orders
  std::string window, warmup = "20s";  // durations; empty window: the whole day in one piece
  double fraction = 1;                 // of the windows without events to play
  int thinning_factor = 1;
};
[[nodiscard]] int replay(const ReplayOptions& options);

}  // namespace gorsemount::app

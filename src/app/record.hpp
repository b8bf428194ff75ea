// `gorsemount record ...` and `gorsemount replay`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gorsemount::app {

struct RecordOptions {
  std::string action, file, other, out, form = "csv", table = "invocations";
  double from = 0, to = 1e12;
};
[[nodiscard]] int record(const RecordOptions& options);

struct ReplayOptions {
  std::string day;                   // a day (HCL) or a recording
  std::vector<std::string> config;   // settings files, A and B; none: what the day implies
  std::vector<std::string> changes;  // for B: block.name=value
  std::string sweep;                 // block.name=v1,v2,...
  std::string page, out;             // files
  int seeds = 8, jobs = 1;
  std::uint64_t first = 1;
  bool same = false;
  std::string window, warm = "20s";  // spans; window empty: the day as one
  double part = 1;                   // of the quiet windows
  int thin = 1;
};
[[nodiscard]] int replay(const ReplayOptions& options);

}  // namespace gorsemount::app

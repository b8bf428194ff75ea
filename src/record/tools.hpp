// Operations of the `record` command on recordings: info, verify, cut, merge and export.
#pragma once

#include <functional>
#include <string>

#include "record/file.hpp"

namespace gorsemount::record {

[[nodiscard]] std::string info(const Recording& r, const std::string& file);
// Decodes all inputs and recomputes all digests. Returns the faults with their positions, 20 at most.
[[nodiscard]] std::vector<std::string> verify(const Recording& r,
                                              const std::function<void(double)>& progress);
// The part from `from` to `to`, in seconds since the beginning.
[[nodiscard]] Recording cut(const Recording& r, double from, double to);
// Merges the recordings of two coordinators of one day. The offset of their clocks is estimated from the
// start times of workers that both observed; throws std::runtime_error if there are none.
struct Merged {
  Recording recording;
  double offset = 0;       // seconds to add to the times of the second recording
  double spread = 0;       // largest deviation of a worker from the offset, seconds
  std::size_t common = 0;  // number of workers
};
[[nodiscard]] Merged merge(const Recording& a, const Recording& b);
// `form` is "csv" or "jsonl"; `table` is "invocations" or "steps".
[[nodiscard]] std::string export_as(const Recording& r, const std::string& form, const std::string& table);
void write(const Recording& r, const std::string& file);  // throws std::runtime_error

}  // namespace gorsemount::record

// What a person does with recordings: info, verify, cut, merge, export, import.
#pragma once

#include <functional>
#include <string>

#include "record/file.hpp"

namespace gorsemount::record {

[[nodiscard]] std::string info(const Recording& r, const std::string& file);
// Reads every input and every digest again; what is wrong, with its place. Empty: nothing.
[[nodiscard]] std::vector<std::string> verify(const Recording& r,
                                              const std::function<void(double)>& progress);
// Seconds from the beginning.
[[nodiscard]] Recording cut(const Recording& r, double from, double to);
// Two coordinators' records of one day. Their clocks' offset is reckoned from when workers that both heard of
// started; throws std::runtime_error if they have none in common.
struct Merged {
  Recording recording;
  double offset = 0;       // s to be added to the second one's times
  double spread = 0;       // how far the workers disagree about it, s
  std::size_t common = 0;  // workers
};
[[nodiscard]] Merged merge(const Recording& a, const Recording& b);
// "csv" or "jsonl"; of "invocations" or "steps".
[[nodiscard]] std::string export_as(const Recording& r, const std::string& form, const std::string& table);
void write(const Recording& r, const std::string& file);  // throws std::runtime_error

}  // namespace gorsemount::record

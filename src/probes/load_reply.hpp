// What a worker says of its load, as JSON. Only the form is judged here; whether the figures can be true is
// for coordinator::ReportAggregator.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::probes {

// The sample, or what is wrong with the text and where. Unknown keys and operations are passed over: workers
// may say and do more than we know.
[[nodiscard]] std::variant<coordinator::LoadSample, std::string> read_load(
    const std::string& text, const std::vector<coordinator::OperationInfo>& operations);

}  // namespace gorsemount::probes

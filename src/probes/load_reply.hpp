// Parses a worker's load report in JSON. Only the format is checked here; coordinator::ReportAggregator
// checks whether the figures are plausible.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::probes {

// Returns the sample, or an error text that names the faulty key. Unknown keys and operations are ignored:
// workers may report and offer more than this coordinator is configured for.
[[nodiscard]] std::variant<coordinator::LoadSample, std::string> parse_load_reply(
    const std::string& text, const std::vector<coordinator::OperationInfo>& operations);

}  // namespace gorsemount::probes

// Encodes facts as FlatBuffers (facts.fbs). Times are stored as offsets from `base`, so that clocks of
// different hosts are never compared.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "recovery/facts.hpp"

namespace gorsemount::recovery {

[[nodiscard]] std::string encode(const std::vector<Entry>& entries, Instant base);
// Returns the entries, or an error text; a batch with any malformed or out-of-range entry is rejected whole.
[[nodiscard]] std::variant<std::vector<Entry>, std::string> decode(std::string_view bytes, Instant base);

}  // namespace gorsemount::recovery

// Facts to bytes and back (FlatBuffers, facts.fbs). Times are written as spans from `base`, so that clocks
// are never compared.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "recovery/facts.hpp"

namespace gorsemount::recovery {

[[nodiscard]] std::string encode(const std::vector<Entry>& entries, Instant base);
// What is wrong with the bytes, in place of entries: nothing of a batch is taken that is not whole and in
// range.
[[nodiscard]] std::variant<std::vector<Entry>, std::string> decode(std::string_view bytes, Instant base);

}  // namespace gorsemount::recovery

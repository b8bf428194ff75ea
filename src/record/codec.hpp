// A coordinator's inputs to bytes and back (MessagePack), and its effects as text: what a recording holds.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::record {

// Instants are written as micros from `base`.
[[nodiscard]] std::string encode(const std::vector<coordinator::Input>& inputs, Instant base);
// In place of inputs: what is wrong with the bytes. Settings of a reload are not carried: `SettingsReloaded`
// is passed over.
[[nodiscard]] std::variant<std::vector<coordinator::Input>, std::string> decode(std::string_view bytes,
                                                                                Instant base);

// Everything that a step ordered, in words: messages, deliveries, what was published, answers to people.
[[nodiscard]] std::string text_of(const coordinator::Effects& effects, Instant base);

}  // namespace gorsemount::record

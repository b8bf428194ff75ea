// Encodes and decodes a coordinator's inputs (MessagePack) and writes its effects as text, for recordings.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::record {

// Instants are encoded as microseconds since `base`.
[[nodiscard]] std::string encode(const std::vector<coordinator::Input>& inputs, Instant base);
// Returns the inputs, or an error text if the bytes are invalid. Reloaded settings are not recorded, so
// `SettingsReloaded` inputs are skipped.
[[nodiscard]] std::variant<std::vector<coordinator::Input>, std::string> decode(std::string_view bytes,
                                                                                Instant base);

// All effects of a step as text: messages, deliveries, the published table, answers to operators, log events
// and the next wakeup. The digest of a step is computed over this text, so its format must not change.
[[nodiscard]] std::string text_of(const coordinator::Effects& effects, Instant base);

}  // namespace gorsemount::record

// Converts between the simulator's JSON messages and the decision module's types.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "settings_json/settings.hpp"

namespace gorsemount::simhost {

[[nodiscard]] std::vector<BackendListUpdate::Entry> read_entries(const Fields& snapshot);
[[nodiscard]] ListScope read_scope(const Fields& registry);

// Empty for kinds of events that the module does not use.
[[nodiscard]] std::optional<Event> read_event(const std::string& kind, const Fields& fields);

[[nodiscard]] Json write_order(std::uint64_t instance, const Order& order);

}  // namespace gorsemount::simhost

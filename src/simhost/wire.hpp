// The bench's JSON wire to the module's types and back. Wire names end here.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "policy/policy.hpp"
#include "settings_json/settings.hpp"

namespace gorsemount::simhost {

[[nodiscard]] std::vector<BackendListUpdate::Entry> read_entries(const Fields& snapshot);
[[nodiscard]] ListScope read_scope(const Fields& registry);

// One event for a module; nothing for kinds that the module has no use for.
[[nodiscard]] std::optional<Event> read_event(const std::string& kind, const Fields& fields);

[[nodiscard]] Json write_order(std::uint64_t instance, const Order& order);

}  // namespace gorsemount::simhost

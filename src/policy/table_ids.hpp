// The numbers of the tables that the decision module orders.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/ids.hpp"

namespace gorsemount {

// Ids below kTablesPerZone are the subset tables, for all zones. Above them each zone has as many: first the
// tables of its proxies while they avoid a failing link, then those for the operations bound to the zone.
inline constexpr std::uint16_t kTablesPerZone = 1000;
inline constexpr std::uint16_t kMaxSubsets = kTablesPerZone / 2;
[[nodiscard]] inline TableId table_id(std::size_t subset) {
  return TableId{static_cast<std::uint16_t>(subset)};
}
[[nodiscard]] inline TableId link_table_id(std::size_t subset, ZoneId zone) {
  return TableId{static_cast<std::uint16_t>(kTablesPerZone * (std::size_t{1} + zone.value) + subset)};
}
[[nodiscard]] inline TableId zone_bound_table_id(std::size_t subset, ZoneId zone) {
  return TableId{static_cast<std::uint16_t>(link_table_id(subset, zone).value + kMaxSubsets)};
}
[[nodiscard]] inline bool is_zone_bound(TableId table) {
  return table.value >= kTablesPerZone && table.value % kTablesPerZone >= kMaxSubsets;
}

}  // namespace gorsemount

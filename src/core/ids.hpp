// Strongly typed ids.
#pragma once

#include <compare>
#include <cstdint>

namespace gorsemount {

template <class Tag, class Rep>
struct Id {
  Rep value{};
  constexpr auto operator<=>(const Id&) const = default;
};

using BackendId = Id<struct BackendTag, std::uint32_t>;
using ProxyId = Id<struct ProxyTag, std::uint16_t>;
using ZoneId = Id<struct ZoneTag, std::uint16_t>;
using OperationId = Id<struct OperationTag, std::uint8_t>;
using TableId = Id<struct TableTag, std::uint16_t>;
using TimerTag = Id<struct TimerTagTag, std::uint64_t>;

}  // namespace gorsemount

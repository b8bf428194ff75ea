#include "coordinator/baseline.hpp"

namespace gorsemount::coordinator {

DecisionMaker fixed_weights() {
  return [](Instant, const std::vector<Event>& events) {
    std::vector<Order> orders;
    for (const auto& event : events) {
      if (const auto* listed = std::get_if<BackendListUpdate>(&event)) {
        for (const auto& e : listed->entries)
          orders.emplace_back(
              SetWeight{TableId{}, e.backend, e.availability == Availability::ready ? e.weight : 0});
      } else if (const auto* joined = std::get_if<ProxyJoined>(&event)) {
        orders.emplace_back(BindProxy{joined->proxy, TableId{}});
      }
    }
    return orders;
  };
}

DecisionMaker zone_local() {
  return [](Instant, const std::vector<Event>& events) {
    std::vector<Order> orders;
    for (const auto& event : events) {
      if (const auto* listed = std::get_if<BackendListUpdate>(&event)) {
        for (const auto& e : listed->entries)
          orders.emplace_back(SetWeight{TableId{e.zone.value}, e.backend,
                                        e.availability == Availability::ready ? e.weight : 0});
      } else if (const auto* joined = std::get_if<ProxyJoined>(&event)) {
        orders.emplace_back(BindProxy{joined->proxy, TableId{joined->zone.value}});
      }
    }
    return orders;
  };
}

}  // namespace gorsemount::coordinator

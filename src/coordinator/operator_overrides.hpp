// Operators' orders in force: backend weights with a lifetime, disabled backends, zones drained in steps. It
// defines how an order acts over time; the coordinator decides whether an order is accepted.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/time.hpp"

namespace gorsemount::coordinator {

class OperatorOverrides {
 public:
  void set_weight(Instant now, const std::string& backend, double weight, Span lifetime);
  void disable(Instant now, const std::string& backend) { disable_orders_[backend] = {true, now}; }
  void enable(Instant now, const std::string& backend) { disable_orders_[backend] = {false, now}; }
  void drain(Instant now, const std::string& zone);
  void undrain(Instant now, const std::string& zone);

  struct Override {
    std::optional<double> weight;  // replaces the listed weight
    double share = 1;              // factor for the weight; 0: drained
    bool disabled = false;
    bool operator==(const Override&) const = default;
  };
  [[nodiscard]] Override effective(const std::string& backend, const std::string& zone, Instant now) const;
  // When an override next changes by itself. Drops expired orders.
  [[nodiscard]] std::optional<Instant> next_change(Instant now);
  [[nodiscard]] bool drained(const std::string& zone) const;  // drained or draining
  [[nodiscard]] bool disabled(const std::string& backend) const {
    const auto it = disable_orders_.find(backend);
    return it != disable_orders_.end() && it->second.disabled;
  }
  [[nodiscard]] bool any() const {
    return !weight_orders_.empty() || !disable_orders_.empty() || !zone_orders_.empty();
  }

  // Orders with the time they were given: if two controllers have different orders, the later one applies.
  struct WeightOrder {
    double weight = 1;
    Instant until, ordered;
  };
  struct ZoneOrder {
    bool draining = true;
    double start_share = 1;  // share of the zone when the order was given
    Instant since;
  };
  struct DisableOrder {
    bool disabled = true;
    Instant ordered;
  };
  [[nodiscard]] const std::map<std::string, WeightOrder>& weight_orders() const { return weight_orders_; }
  [[nodiscard]] const std::map<std::string, DisableOrder>& disable_orders() const { return disable_orders_; }
  [[nodiscard]] const std::map<std::string, ZoneOrder>& zone_orders() const { return zone_orders_; }
  // Adds an order from an earlier run or from another controller. Returns true if it is later than the
  // current one.
  bool restore(const std::string& backend, const WeightOrder& weight);
  bool restore(const std::string& backend, const DisableOrder& disabled);
  bool restore(const std::string& zone, const ZoneOrder& order);
  bool forget_zone(const std::string& zone, Instant before);  // revoked by any controller

 private:
  [[nodiscard]] static double share(const ZoneOrder& zone, Instant now);

  std::map<std::string, WeightOrder> weight_orders_;
  std::map<std::string, DisableOrder> disable_orders_;
  std::map<std::string, ZoneOrder> zone_orders_;
};

}  // namespace gorsemount::coordinator

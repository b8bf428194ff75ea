#include "coordinator/operator_overrides.hpp"

#include <algorithm>
#include <cmath>

namespace gorsemount::coordinator {

namespace {

// The same steps as the policy's for zones (docs/design.md): down by a third of the full share every 2 s; up
// from a hundredth, by a tenth every 3 s.
constexpr double kDrainStep = 1.0 / 3, kReturnStep = 0.1, kTrialShare = 0.01;
const Span kDrainInterval = Span::seconds(2), kReturnInterval = Span::seconds(3);

// A revoked order is kept this long, so that controllers that still have the older order learn of it.
const Span kRevokedOrderRetention = Span::seconds(600);

double elapsed_steps(Instant since, Instant now, Span every) {
  return std::floor((now - since).seconds() / every.seconds() + 1e-9);
}

}  // namespace

void OperatorOverrides::set_weight(Instant now, const std::string& backend, double weight, Span lifetime) {
  weight_orders_[backend] = {weight, now + lifetime, now};
}

double OperatorOverrides::share(const ZoneOrder& zone, Instant now) {
  if (zone.draining) {
    const double left = zone.start_share - kDrainStep * (elapsed_steps(zone.since, now, kDrainInterval) + 1);
    return left < 1e-9 ? 0 : left;
  }
  return std::min(1.0, std::max(zone.start_share, kTrialShare) +
                           kReturnStep * elapsed_steps(zone.since, now, kReturnInterval));
}

void OperatorOverrides::drain(Instant now, const std::string& zone) {
  const auto it = zone_orders_.find(zone);
  if (it != zone_orders_.end() && it->second.draining) return;
  zone_orders_[zone] = {true, it == zone_orders_.end() ? 1 : share(it->second, now), now};
}

void OperatorOverrides::undrain(Instant now, const std::string& zone) {
  const auto it = zone_orders_.find(zone);
  if (it == zone_orders_.end() || !it->second.draining) return;
  it->second = {false, share(it->second, now), now};
}

bool OperatorOverrides::drained(const std::string& zone) const {
  const auto it = zone_orders_.find(zone);
  return it != zone_orders_.end() && it->second.draining;
}

OperatorOverrides::Override OperatorOverrides::effective(const std::string& backend, const std::string& zone,
                                                         Instant now) const {
  Override result;
  if (const auto it = weight_orders_.find(backend); it != weight_orders_.end() && now < it->second.until)
    result.weight = it->second.weight;
  if (const auto it = zone_orders_.find(zone); it != zone_orders_.end())
    result.share = share(it->second, now);
  result.disabled = disabled(backend) || result.share <= 0;
  return result;
}

bool OperatorOverrides::restore(const std::string& backend, const WeightOrder& weight) {
  const auto it = weight_orders_.find(backend);
  if (it != weight_orders_.end() && it->second.ordered >= weight.ordered) return false;
  weight_orders_[backend] = weight;
  return true;
}

bool OperatorOverrides::restore(const std::string& backend, const DisableOrder& disabled) {
  const auto it = disable_orders_.find(backend);
  if (it != disable_orders_.end() && it->second.ordered >= disabled.ordered) return false;
  disable_orders_[backend] = disabled;
  return true;
}

bool OperatorOverrides::restore(const std::string& zone, const ZoneOrder& order) {
  const auto it = zone_orders_.find(zone);
  if (it != zone_orders_.end() && it->second.since >= order.since) return false;
  if (it == zone_orders_.end() && !order.draining) return false;  // not drained
  zone_orders_[zone] = order;
  return true;
}

bool OperatorOverrides::forget_zone(const std::string& zone, Instant before) {
  const auto it = zone_orders_.find(zone);
  if (it == zone_orders_.end() || it->second.since >= before) return false;
  zone_orders_.erase(it);
  return true;
}

std::optional<Instant> OperatorOverrides::next_change(Instant now) {
  std::optional<Instant> next;
  const auto at = [&](Instant when) { next = std::min(next.value_or(when), when); };
  std::erase_if(disable_orders_, [&](const auto& row) {
    return !row.second.disabled && now - row.second.ordered > kRevokedOrderRetention;
  });
  std::erase_if(weight_orders_, [&](const auto& row) { return row.second.until <= now; });
  std::erase_if(zone_orders_,
                [&](const auto& row) { return !row.second.draining && share(row.second, now) >= 1; });
  for (const auto& [name, w] : weight_orders_) at(w.until);
  for (const auto& [name, zone] : zone_orders_) {
    if (zone.draining && share(zone, now) <= 0) continue;
    const Span every = zone.draining ? kDrainInterval : kReturnInterval;
    at(zone.since + every * (elapsed_steps(zone.since, now, every) + 1));
  }
  return next;
}

}  // namespace gorsemount::coordinator

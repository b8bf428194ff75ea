#include "limits/fleet_rate_limit.hpp"

#include <algorithm>

namespace gorsemount::limits {

namespace {

// A few seconds, so that one report without arrivals costs a forwarder no allocation.
constexpr std::size_t kMaxSamples = 6;
// Limits apply once demand exceeds this fraction of the rate. Below it every forwarder admits freely, so that
// a burst at one is not rejected while others are idle.
constexpr double kEnforcementThreshold = 0.9;
// This fraction of an operation's rate is divided evenly, so that a forwarder without traffic so far can
// admit its first invocations.
constexpr double kEvenFraction = 0.1;

}  // namespace

FleetRateLimit::FleetRateLimit(double rate, std::vector<PricedOperation> operations)
    : rate_{rate}, operations_{std::move(operations)} {
  std::stable_sort(operations_.begin(), operations_.end(),
                   [](const PricedOperation& a, const PricedOperation& b) {
                     return a.billed_value / a.cost > b.billed_value / b.cost;
                   });
}

void FleetRateLimit::add_forwarder(ProxyId forwarder) { arrival_rates_.try_emplace(forwarder); }
void FleetRateLimit::remove_forwarder(ProxyId forwarder) { arrival_rates_.erase(forwarder); }

void FleetRateLimit::record_arrivals(ProxyId forwarder, OperationId operation, int count, Span period) {
  const auto entry = arrival_rates_.find(forwarder);
  if (entry == arrival_rates_.end() || period <= Span{} || count < 0) return;
  auto& samples = entry->second[operation];
  samples.push_back(count / period.seconds());
  if (samples.size() > kMaxSamples) samples.pop_front();
}

// The highest of the latest samples, so that allocations cover peaks as far as the rate allows.
double FleetRateLimit::demand(ProxyId forwarder, OperationId operation) const {
  const auto entry = arrival_rates_.find(forwarder);
  if (entry == arrival_rates_.end()) return 0;
  const auto it = entry->second.find(operation);
  return it == entry->second.end() || it->second.empty()
             ? 0
             : *std::max_element(it->second.begin(), it->second.end());
}

FleetRateLimit::Allocations FleetRateLimit::allocations() const {
  Allocations allocations;
  if (rate_ <= 0 || arrival_rates_.empty()) return allocations;
  std::map<OperationId, double> demands;
  double total_demand = 0;
  for (const auto& [forwarder, entry] : arrival_rates_)
    for (const auto& priced : operations_)
      demands[priced.operation] += demand(forwarder, priced.operation),
          total_demand += demand(forwarder, priced.operation);
  if (total_demand <= kEnforcementThreshold * rate_) return allocations;
  // Serves operations by value per cost, then divides the surplus by demand, so that the allocations always
  // sum to the rate.
  double unassigned = rate_;
  std::map<OperationId, double> assigned;
  for (const auto& priced : operations_)
    unassigned -= assigned[priced.operation] = std::min(unassigned, demands[priced.operation]);
  const auto forwarder_count = static_cast<double>(arrival_rates_.size());
  for (const auto& [forwarder, entry] : arrival_rates_)
    for (const auto& priced : operations_) {
      const double operation_demand = demands[priced.operation];
      const double demand_share =
          operation_demand > 0 ? demand(forwarder, priced.operation) / operation_demand : 1 / forwarder_count;
      const double surplus = total_demand > 0 ? unassigned * operation_demand / total_demand : 0;
      allocations[{forwarder, priced.operation}] =
          (assigned[priced.operation] + surplus) *
          ((1 - kEvenFraction) * demand_share + kEvenFraction / forwarder_count);
    }
  return allocations;
}

}  // namespace gorsemount::limits

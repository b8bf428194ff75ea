#include "limits/fleet_rate_limit.hpp"

#include <algorithm>

namespace gorsemount::limits {

namespace {

constexpr std::size_t kSamples = 6;  // some seconds: one quiet report must not cost a forwarder its part
// Limits set in once demand passes this part of the rate: below it each may take all it likes, so that a
// burst at one forwarder is not turned away while others are idle.
constexpr double kFree = 0.9;
// Of an operation's part, this much is dealt evenly: a forwarder that nobody asked yet has a line at once.
constexpr double kEven = 0.1;

}  // namespace

FleetRateLimit::FleetRateLimit(double rate, std::vector<PricedOperation> operations)
    : rate_{rate}, operations_{std::move(operations)} {
  std::stable_sort(operations_.begin(), operations_.end(),
                   [](const PricedOperation& a, const PricedOperation& b) {
                     return a.billed_value / a.cost > b.billed_value / b.cost;
                   });
}

void FleetRateLimit::add_forwarder(ProxyId forwarder) { came_.try_emplace(forwarder); }
void FleetRateLimit::remove_forwarder(ProxyId forwarder) { came_.erase(forwarder); }

void FleetRateLimit::record_arrivals(ProxyId forwarder, OperationId operation, int n, Span over) {
  const auto row = came_.find(forwarder);
  if (row == came_.end() || over <= Span{} || n < 0) return;
  auto& log = row->second[operation];
  log.push_back(n / over.seconds());
  if (log.size() > kSamples) log.pop_front();
}

// The highest of the last samples: what came is met, as far as the rate goes.
double FleetRateLimit::demand(ProxyId forwarder, OperationId operation) const {
  const auto row = came_.find(forwarder);
  if (row == came_.end()) return 0;
  const auto it = row->second.find(operation);
  return it == row->second.end() || it->second.empty()
             ? 0
             : *std::max_element(it->second.begin(), it->second.end());
}

FleetRateLimit::Allocations FleetRateLimit::allocations() const {
  Allocations parts;
  if (rate_ <= 0 || came_.empty()) return parts;
  std::map<OperationId, double> wanted;
  double all = 0;
  for (const auto& [forwarder, row] : came_)
    for (const auto& op : operations_)
      wanted[op.operation] += demand(forwarder, op.operation), all += demand(forwarder, op.operation);
  if (all <= kFree * rate_) return parts;
  // The dearest first; what is left over goes to all by what came, so that the parts always sum to the rate.
  double left = rate_;
  std::map<OperationId, double> given;
  for (const auto& op : operations_) left -= given[op.operation] = std::min(left, wanted[op.operation]);
  const auto n = static_cast<double>(came_.size());
  for (const auto& [forwarder, row] : came_)
    for (const auto& op : operations_) {
      const double total = wanted[op.operation];
      const double by_demand = total > 0 ? demand(forwarder, op.operation) / total : 1 / n;
      const double spare = all > 0 ? left * total / all : 0;
      parts[{forwarder, op.operation}] =
          (given[op.operation] + spare) * ((1 - kEven) * by_demand + kEven / n);
    }
  return parts;
}

}  // namespace gorsemount::limits

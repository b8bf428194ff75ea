// Divides a fleet-wide rate limit among the forwarders by the demand at each. A forwarder enforces its own
// allocation locally, without waiting for the coordinator; allocations follow the reports. No I/O, no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace gorsemount::limits {

struct PricedOperation {
  OperationId operation;
  double billed_value = 0;
  double cost = 1;  // of one invocation, in any unit; the highest value per cost is admitted first
};

class FleetRateLimit {
 public:
  // `rate`: invocations per second that all forwarders together may admit; 0: unlimited.
  FleetRateLimit(double rate, std::vector<PricedOperation> operations);

  void record_arrivals(ProxyId forwarder, OperationId operation, int count, Span period);
  void add_forwarder(ProxyId forwarder);
  void remove_forwarder(ProxyId forwarder);

  // Invocations per second that each forwarder may admit of each operation. Empty while no limit applies.
  using Allocations = std::map<std::pair<ProxyId, OperationId>, double>;
  [[nodiscard]] Allocations allocations() const;

 private:
  [[nodiscard]] double demand(ProxyId forwarder, OperationId operation) const;

  double rate_;
  std::vector<PricedOperation> operations_;
  // The latest samples, invocations per second.
  std::map<ProxyId, std::map<OperationId, std::deque<double>>> arrival_rates_;
};

}  // namespace gorsemount::limits

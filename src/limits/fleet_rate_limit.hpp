// Shares a rate of the whole fleet among forwarders by what came to each. No forwarder waits for it: each
// holds its own part and turns away at once what is beyond; parts follow as reports come. Free of I/O and
// clocks.
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
  double cost = 1;  // of one invocation, in any unit: value for cost decides who goes first
};

class FleetRateLimit {
 public:
  // `rate`: invocations a second that all forwarders together may let in; 0: any.
  FleetRateLimit(double rate, std::vector<PricedOperation> operations);

  void record_arrivals(ProxyId forwarder, OperationId operation, int n, Span over);
  void add_forwarder(ProxyId forwarder);
  void remove_forwarder(ProxyId forwarder);

  // What each forwarder may let in of each operation, invocations a second. Empty while all may come in.
  using Allocations = std::map<std::pair<ProxyId, OperationId>, double>;
  [[nodiscard]] Allocations allocations() const;

 private:
  [[nodiscard]] double demand(ProxyId forwarder, OperationId operation) const;

  double rate_;
  std::vector<PricedOperation> operations_;
  std::map<ProxyId, std::map<OperationId, std::deque<double>>>
      came_;  // invocations a second, the last samples
};

}  // namespace gorsemount::limits

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

struct Priced {
  OperationId operation;
  double billed_value = 0;
  double cost = 1;  // of one invocation, in any unit: value for cost decides who goes first
};

class FleetLimit {
 public:
  // `rate`: invocations a second that all forwarders together may let in; 0: any.
  FleetLimit(double rate, std::vector<Priced> operations);

  void arrived(ProxyId forwarder, OperationId operation, int n, Span over);
  void joined(ProxyId forwarder);
  void left(ProxyId forwarder);

  // What each forwarder may let in of each operation, invocations a second. Empty while all may come in.
  using Parts = std::map<std::pair<ProxyId, OperationId>, double>;
  [[nodiscard]] Parts parts() const;

 private:
  [[nodiscard]] double demand(ProxyId forwarder, OperationId operation) const;

  double rate_;
  std::vector<Priced> operations_;
  std::map<ProxyId, std::map<OperationId, std::deque<double>>>
      came_;  // invocations a second, the last samples
};

}  // namespace gorsemount::limits

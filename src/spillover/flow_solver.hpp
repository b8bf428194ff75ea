// Computes how much work flows from each proxy zone to each backend zone. Three linear programs run in order:
// keep as much billed value as possible, then minimize cross-zone traffic weighted by tier, then minimize the
// change from the current flow. Each is constrained to the optimum of the one before, so that no weighting
// trades one objective against another. No I/O, no clock.
#pragma once

#include <cstddef>
#include <vector>

namespace gorsemount::spillover {

struct FlowProblem {
  struct OperationDemand {
    double billed_value = 0;     // per invocation
    double cost = 1;             // capacity used per invocation
    std::vector<double> demand;  // invocations per second, by proxy zone
  };
  std::vector<OperationDemand> operations;
  std::vector<double> capacity;  // cost per second, by backend zone
  // [proxy zone][backend zone]: 0 own, 1 near, 2 far; negative: unreachable
  std::vector<std::vector<int>> tier;
  std::vector<std::vector<double>> current_flow;  // cost per second; empty: unknown
  // Used under overload, by backend zone: all work is placed regardless of capacity, minimizing the largest
  // ratio of a zone's load to its share here. Empty: work beyond capacity is lost.
  std::vector<double> overload_shares;
};

struct FlowSolution {
  std::vector<std::vector<double>> flow;      // cost per second, [proxy zone][backend zone]
  std::vector<std::vector<double>> admitted;  // fraction of the demand, [operation][proxy zone]
  double peak_load_ratio = 0;  // under overload: the largest ratio of load to `overload_shares`
  double lost_value = 0;       // billed value per second beyond all capacity
  double cross_zone_cost = 0;  // cost per second, weighted by tier
  double moved_cost = 0;       // cost per second that changes zones
};

// Each tier costs this many times the one before, so that far traffic weighs more than its latency alone.
inline constexpr double kTierCostFactor = 4;

// Throws std::runtime_error if the solver fails, which a problem of this form cannot cause.
[[nodiscard]] FlowSolution solve(const FlowProblem& problem);

}  // namespace gorsemount::spillover

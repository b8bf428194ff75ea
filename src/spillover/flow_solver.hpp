// Decides what should flow from the zones of proxies to the zones of backends: first as much billed value as
// can be kept, then as few crossings, by tier, as that allows, then as little change from what flows now.
// Three linear programs one after the other, each bound to the result of the one before, so that no weighing
// of one aim against another is hidden in a number. Free of I/O and clocks.
#pragma once

#include <cstddef>
#include <vector>

namespace gorsemount::spillover {

struct FlowProblem {
  struct OperationDemand {       // invocations of one operation
    double value = 0;            // billed, each
    double cost = 1;             // of capacity, each
    std::vector<double> demand;  // a second, by proxy zone
  };
  std::vector<OperationDemand> operations;
  std::vector<double> capacity;  // cost a second, by backend zone
  std::vector<std::vector<int>>
      tier;  // [proxy zone][backend zone]: 0 own, 1 near, 2 far; below 0: can't be reached
  std::vector<std::vector<double>> now;  // cost a second that flows there now; empty: nothing is known
  // In strain, by backend zone: all work is placed, whatever the capacities, so that the fullest zone is as
  // little over its part of this as can be. Empty: work beyond capacity is lost.
  std::vector<double> even;
};

struct FlowSolution {
  std::vector<std::vector<double>> flow;      // cost a second, [proxy zone][backend zone]
  std::vector<std::vector<double>> admitted;  // part of the demand, [class][proxy zone]
  double fullest = 0;                         // in strain: cost a second, over `even`, of the fullest zone
  double lost = 0;                            // billed value a second that nothing can take
  double crossings = 0;                       // cost a second, times the tier
  double change = 0;                          // cost a second that moves
};

// Crossing one tier costs so many times a crossing of the one before: far is worse than near by more than the
// trip.
inline constexpr double kTierCost = 4;

// Throws std::runtime_error if the solver fails, which a problem of this form can't make it do.
[[nodiscard]] FlowSolution solve(const FlowProblem& problem);

}  // namespace gorsemount::spillover

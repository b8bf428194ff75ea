// Decides how work leaves a failed zone and how it returns: by tiers of preference, within the capacity that
// the other zones have demonstrated, in bounded steps. It builds on the policy module's zone weights and
// never contradicts them: weight that the module has removed from a zone is not counted as capacity, and a
// backend with no weight from the module receives nothing. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"
#include "spillover/flow_solver.hpp"

namespace gorsemount::spillover {

// The state of a backend zone in one report round.
struct ZoneSample {
  double weight = 0;           // in the module's tables, warm and cold backends together
  double listed_weight = 0;    // of all backends that discovery lists as ready
  double goodput = 0;          // cost per second that completed in time since the last round
  double cpu_utilization = 0;  // 0: not reported
};
// Latency from a proxy zone to a backend zone, measured at the fastest backends there: the network round trip
// plus service time, which is the same everywhere. Absent: not measured.
using ZoneLatencies = std::map<std::pair<std::size_t, std::size_t>, Span>;
// Pairs of zones that cannot reach each other, according to the module's link health.
using UnreachablePairs = std::set<std::pair<std::size_t, std::size_t>>;

class SpilloverPlanner {
 public:
  // `tier`: [proxy zone][backend zone], from the settings.
  explicit SpilloverPlanner(std::vector<std::vector<int>> tier);

  struct Decision {
    // Fraction of each proxy zone's work that each backend zone is to receive; each row adds up to 1. Empty
    // while nothing is known: the module's weights then apply unchanged.
    std::vector<std::vector<double>> shares;
    std::vector<std::vector<double>> admitted;  // [operation][proxy zone]
    bool overloaded = false;                    // tiers are suspended: see kTargetUtilization
    double moved = 0;                           // fraction of all work that this step moves
    std::vector<bool> tier_mismatch;            // by proxy zone: measured latencies contradict the tiers
    // [proxy zone][backend zone]: 0 if work is routed there; otherwise the tier to fail over to.
    std::vector<std::vector<int>> failover_tier;
  };
  // Called after each round of reports.
  [[nodiscard]] Decision decide(Instant now, const std::vector<ZoneSample>& samples,
                                const std::vector<FlowProblem::OperationDemand>& operations,
                                const ZoneLatencies& latencies, const UnreachablePairs& unreachable = {});

  // The load that a zone may be given: its goodput per unit of weight at full utilization, less a margin,
  // times its current weight. Empty: too few samples.
  [[nodiscard]] std::optional<double> capacity(std::size_t zone) const;
  // Whether the other zones can take the demand of the last round; true if too little is known to tell.
  [[nodiscard]] bool has_capacity_without(std::size_t zone) const;
  [[nodiscard]] double capacity_limit(std::size_t zone) const { return zones_.at(zone).capacity_limit; }

 private:
  struct Zone {
    // Cost per second per unit of weight at full utilization, in the latest rounds.
    std::deque<double> unit_capacities;
    double weight = 0;
    double capacity_limit = 1;  // fraction of its capacity, while it returns from a failure
    bool failed = false;
    Instant last_step, recovered_at, held_until;
    int relapses = 0;
    double listed_share = 1;    // weight over listed weight, in the last round
    bool early_return = false;  // counted as recovered during overload, before its weight says so
  };
  void update_zone(Instant now, Zone& zone, const ZoneSample& sample);
  [[nodiscard]] std::optional<double> unit_capacity(const Zone& zone) const;

  std::vector<std::vector<int>> tier_;
  std::vector<Zone> zones_;
  std::vector<std::vector<double>> shares_;
  double demand_ = 0;  // cost per second, in the last round
  Instant overload_until_, overload_began_;
  int recent_overloads_ = 0;
};

}  // namespace gorsemount::spillover

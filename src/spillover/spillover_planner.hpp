// Decides how work leaves a zone that is lost and how it comes back: by tiers of preference, within what the
// others have shown that they can take, in steps. It sits on the module's zone weights and never contradicts
// them: what a ladder took from a zone is no capacity here, and nothing is given to a backend that the module
// gives nothing. Free of I/O and clocks.
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

// Of a backend zone, as it stands now.
struct ZoneSample {
  double weight = 0;           // what the module has in its tables, of warm and cold ones together
  double listed_weight = 0;    // of all that the list calls ready
  double goodput = 0;          // cost a second that came back in time, since the last look
  double cpu_utilization = 0;  // use of processors; 0: they do not tell
};
// How long work takes from a proxy zone to a backend zone, at the quickest backends there: the trip, and work
// that is the same everywhere. Absent: nothing was measured.
using ZoneLatencies = std::map<std::pair<std::size_t, std::size_t>, Span>;
// Pairs that can't reach each other, by the module's ladders of links.
using UnreachablePairs = std::set<std::pair<std::size_t, std::size_t>>;

class SpilloverPlanner {
 public:
  // `tier`: [proxy zone][backend zone], from the settings.
  explicit SpilloverPlanner(std::vector<std::vector<int>> tier);

  // After each round of reports. The parts of each proxy zone's work that are to go to each backend zone,
  // each row adding up to 1, or empty rows where nothing is known yet: the module's weights stand alone then.
  struct Decision {
    std::vector<std::vector<double>> shares;
    std::vector<std::vector<double>> admitted;  // [class][proxy zone]
    bool overloaded = false;                    // tiers are off: see spill.cpp
    double moved = 0;                           // part of all work that this step moves
    std::vector<bool> tier_mismatch;            // by proxy zone: measured trips say otherwise
    // Of each backend zone, by proxy zone: 0, work is meant to go there; else its tier, to turn to where the
    // first fail.
    std::vector<std::vector<int>> failover_tier;
  };
  [[nodiscard]] Decision decide(Instant now, const std::vector<ZoneSample>& zones,
                                const std::vector<FlowProblem::OperationDemand>& classes,
                                const ZoneLatencies& trips, const UnreachablePairs& cut = {});

  // What a zone may be asked to take: what its full weight has carried for its use, with a margin, times the
  // weight that stands. Empty: it has not shown enough.
  [[nodiscard]] std::optional<double> capacity(std::size_t zone) const;
  // Whether what came at the last look would find room without a zone, by all that is known; true if too
  // little is.
  [[nodiscard]] bool has_capacity_without(std::size_t zone) const;
  [[nodiscard]] double ceiling(std::size_t zone) const { return zones_.at(zone).ceiling; }

 private:
  struct Zone {
    std::deque<double> able;  // cost a second for a unit of weight at full use; the last rounds that told
    double weight = 0;
    double ceiling = 1;  // of its capacity, on its way back from a loss
    bool lost = false;
    Instant since, back, held_until;  // since: of the last step; back: when it was lost no more
    int relapses = 0;
    double part = 1;     // of its listed weight, at the last look
    bool early = false;  // back, in strain, before its weight says so
  };
  void follow(Instant now, Zone& zone, const ZoneSample& seen);
  [[nodiscard]] std::optional<double> shown(const Zone& zone) const;

  std::vector<std::vector<int>> tier_;
  std::vector<Zone> zones_;
  std::vector<std::vector<double>> parts_;
  double demand_ = 0;  // cost a second, at the last look
  Instant strain_until_, strain_began_;
  int strains_ = 0;  // of late
};

}  // namespace gorsemount::spillover

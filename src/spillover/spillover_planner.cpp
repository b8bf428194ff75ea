#include "spillover/spillover_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsemount::spillover {

namespace {

constexpr std::size_t kSampleRounds = 16;  // some seconds of samples, as many as the policy module keeps
// A sample counts only at an intermediate utilization: below it throughput says nothing about capacity, above
// it saturation lowers throughput.
constexpr double kMinUtilization = 0.3, kMaxUtilization = 0.9;
// Capacity is the lower quartile of the samples, less 5% for the rounds until reports arrive.
constexpr double kCapacityQuantile = 0.25, kCapacityMargin = 0.95;
// Limits a zone's unit capacity to 1.1 times the median, because listed weights already express the zones'
// relative capacity. Without it, one zone that reported half of its true utilization cost 0.11 of a day's
// service.
constexpr double kMaxOverMedian = 1.1;
// Routing by tiers fills a zone only to this fraction of its capacity, because bursts queue above it. If the
// work does not fit, the fleet is overloaded: all work is placed so that the peak load ratio is minimal,
// until it has fitted for a hold time that doubles with each recent overload. Filling a zone completely for
// the sake of a tier saturates it, the module then takes its weight away, and the work that it loses
// saturates the next zone (measured: docs/zones.md).
constexpr double kTargetUtilization = 0.8;
// A flapping zone would otherwise switch the fleet between tiers and an even spread each time, which moves
// more work than the failure itself. Each overload lasts twice as long as the one before; one is forgotten
// per interval, which is about as long as the longest of them.
constexpr int kMaxRecentOverloads = 6;
const Span kOverloadForgetInterval = Span::seconds(1800);
// Fractions of a zone's listed weight: below the first it has failed, above the second it counts as
// recovered.
constexpr double kFailedShare = 0.1, kRecoveredShare = 0.66;
// A recovered zone starts at a hundredth of its capacity and gains a quarter per second; the module's slow
// start and health weights pace it as well. After a relapse the ramp is ten times slower and the hold time
// doubles, at most three times. A decrease takes effect at once.
constexpr double kTrialLimit = 0.01, kRampStep = 0.25, kRelapseRampFactor = 0.1;
const Span kRampInterval = Span::seconds(1), kHoldTime = Span::seconds(10);
// A step moves at most a fifth of a proxy zone's work, except for work that must leave a failed zone. Changes
// below a fiftieth are ignored: two rounds of reports differ by as much.
constexpr double kMaxMovedShare = 0.2, kMinMovedShare = 0.02;
// Every backend zone that a proxy zone can reach receives at least this fraction of its work, whatever its
// tier.
constexpr double kMinShare = 0.02;
// Latencies contradict the tiers only if they differ by more than a tenth of the lower one, by which the
// means of a few invocations vary, and by more than a millisecond.
constexpr double kLatencyNoise = 0.1;

double quantile(std::deque<double> values, double rank) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(rank * static_cast<double>(values.size() - 1))];
}

}  // namespace

SpilloverPlanner::SpilloverPlanner(std::vector<std::vector<int>> tier)
    : tier_{std::move(tier)}, zones_(tier_.empty() ? 0 : tier_[0].size()) {}

std::optional<double> SpilloverPlanner::unit_capacity(const Zone& zone) const {
  // The first rounds lag behind a load that has just started.
  if (zone.unit_capacities.size() < kSampleRounds / 2) return {};
  return quantile(zone.unit_capacities, kCapacityQuantile);
}

std::optional<double> SpilloverPlanner::capacity(std::size_t zone) const {
  const Zone& z = zones_.at(zone);
  const auto own = unit_capacity(z);
  if (!own) return {};
  std::vector<double> all;
  for (const auto& other : zones_)
    if (const auto value = unit_capacity(other)) all.push_back(*value);
  std::sort(all.begin(), all.end());
  return kCapacityMargin * std::min(*own, kMaxOverMedian * all[(all.size() - 1) / 2]) * z.weight *
         z.capacity_limit;
}

bool SpilloverPlanner::has_capacity_without(std::size_t zone) const {
  double total_capacity = 0;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    const auto available = capacity(z);
    if (!available && zones_[z].weight > 0) return true;
    if (z != zone) total_capacity += available.value_or(0);
  }
  return demand_ <= total_capacity;
}

// Tracks a zone's failure and return. So that a flapping zone moves little work, its limit drops at once and
// each ramp after a relapse is slower.
void SpilloverPlanner::update_zone(Instant now, Zone& zone, const ZoneSample& sample) {
  zone.weight = sample.weight;
  const double listed_share = sample.listed_weight > 0 ? sample.weight / sample.listed_weight : 0;
  const bool rising = listed_share > std::exchange(zone.listed_share, listed_share);
  // While the other zones are overloaded, a first return is paced by the module's slow start alone: recovered
  // capacity is worth more than a gentler ramp, and slow start keeps cold backends well below the load at
  // which they fail.
  const bool fast_return = now < overload_until_ && zone.relapses == 0;
  zone.early_return = listed_share < kFailedShare && listed_share >= kTrialLimit &&
                      (zone.early_return || (fast_return && zone.failed && rising));
  if (listed_share < kFailedShare && !zone.early_return) {
    // Listed weight that fluctuates for one round during a failure does not count as a relapse.
    if (!zone.failed && (zone.capacity_limit < 1 || now - zone.recovered_at < kHoldTime) &&
        now - zone.recovered_at >= kRampInterval)
      ++zone.relapses;
    zone.failed = true, zone.capacity_limit = 0, zone.last_step = now;
    zone.held_until = now + kHoldTime * (1 << std::min(zone.relapses, 3));
    return;
  }
  if (zone.failed) {
    if (now < zone.held_until && zone.relapses > 0) return;
    zone.failed = false, zone.capacity_limit = fast_return ? 1 : kTrialLimit,
    zone.last_step = zone.recovered_at = now;
    return;
  }
  if (zone.capacity_limit >= 1) {
    if (now - zone.last_step > kHoldTime * 4) zone.relapses = 0;
    return;
  }
  if (now - zone.last_step < kRampInterval) return;
  zone.capacity_limit =
      std::min(1.0, zone.capacity_limit + kRampStep * (zone.relapses > 0 ? kRelapseRampFactor : 1)),
  zone.last_step = now;
}

SpilloverPlanner::Decision SpilloverPlanner::decide(
    Instant now, const std::vector<ZoneSample>& samples,
    const std::vector<FlowProblem::OperationDemand>& operations, const ZoneLatencies& latencies,
    const UnreachablePairs& unreachable) {
  const std::size_t proxy_zones = tier_.size(), backend_zones = zones_.size();
  Decision decision;
  decision.tier_mismatch.assign(proxy_zones, false);
  for (std::size_t b = 0; b < backend_zones; ++b) {
    Zone& z = zones_[b];
    const ZoneSample& sample = samples[b];
    if (sample.weight > 0 && sample.cpu_utilization > kMinUtilization &&
        sample.cpu_utilization < kMaxUtilization) {
      z.unit_capacities.push_back(sample.goodput / sample.cpu_utilization / sample.weight);
      if (z.unit_capacities.size() > kSampleRounds) z.unit_capacities.pop_front();
    }
    update_zone(now, z, sample);
  }
  FlowProblem problem;
  problem.operations = operations, problem.tier = tier_;
  for (const auto& [a, b] : unreachable)
    if (a < proxy_zones && b < backend_zones) problem.tier[a][b] = -1;
  double demand = 0, unit_capacity_sum = 0;
  std::size_t reporting = 0;
  for (const auto& operation : operations)
    for (const double rate : operation.demand) demand += rate * operation.cost;
  for (std::size_t b = 0; b < backend_zones; ++b)
    if (const auto c = capacity(b); c && zones_[b].weight > 0 && zones_[b].capacity_limit > 0)
      unit_capacity_sum += *c / zones_[b].weight / zones_[b].capacity_limit, ++reporting;
  demand_ = demand;
  if (demand <= 0) return decision;
  for (std::size_t b = 0; b < backend_zones; ++b) {
    const Zone& z = zones_[b];
    // A zone without samples is assumed to match the average of the others; if no zone has samples the fleet
    // is idle and any zone can take all work.
    const double per_unit = reporting > 0 ? unit_capacity_sum / static_cast<double>(reporting)
                                          : 2 * demand / std::max(1e-9, z.weight);
    problem.capacity.push_back(
        kTargetUtilization * capacity(b).value_or(kCapacityMargin * per_unit * z.weight * z.capacity_limit));
  }
  // A measured latency above that of a zone in a later tier contradicts the settings. The settings still
  // apply; the mismatch is reported to the operator.
  for (std::size_t a = 0; a < proxy_zones; ++a)
    for (std::size_t b = 0; b < backend_zones; ++b)
      for (std::size_t c = 0; c < backend_zones; ++c) {
        const auto to_b = latencies.find({a, b}), to_c = latencies.find({a, c});
        if (to_b == latencies.end() || to_c == latencies.end() || tier_[a][b] < 0 ||
            tier_[a][c] <= tier_[a][b])
          continue;
        const Span lower = std::min(to_b->second, to_c->second);
        if (to_b->second - to_c->second > std::max(Span::seconds(0.001), lower * kLatencyNoise))
          decision.tier_mismatch[a] = true;
      }
  std::vector<double> zone_demand(proxy_zones, 0);
  for (const auto& operation : operations)
    for (std::size_t a = 0; a < proxy_zones; ++a) zone_demand[a] += operation.demand[a] * operation.cost;
  if (!shares_.empty()) {
    problem.current_flow.assign(proxy_zones, std::vector<double>(backend_zones, 0));
    for (std::size_t a = 0; a < proxy_zones; ++a)
      for (std::size_t b = 0; b < backend_zones; ++b)
        problem.current_flow[a][b] = shares_[a][b] * zone_demand[a];
  }
  FlowSolution solution = solve(problem);
  decision.admitted = solution.admitted;
  std::vector<std::vector<double>> target(proxy_zones, std::vector<double>(backend_zones, 0));
  double total_capacity = 0;
  for (const auto& z : zones_) total_capacity += z.weight * z.capacity_limit;
  double value = 0;
  for (const auto& operation : operations)
    for (const double rate : operation.demand) value += rate * operation.billed_value;
  if (solution.lost_value > 1e-3 * value) {
    if (now >= overload_until_) {
      const auto forgotten = (now - overload_began_).micros() / kOverloadForgetInterval.micros();
      recent_overloads_ = static_cast<int>(std::max<std::int64_t>(
          0, recent_overloads_ - std::min<std::int64_t>(forgotten, kMaxRecentOverloads)));
      overload_began_ = now, recent_overloads_ = std::min(recent_overloads_ + 1, kMaxRecentOverloads);
    }
    overload_until_ = std::max(overload_until_, now + kHoldTime * (1 << recent_overloads_));
  }
  decision.overloaded = now < overload_until_;
  // Each table limits a cold backend to the module's slow-start weight, so a returning zone fills only if all
  // proxy zones route to it: each gives it the same share and splits the rest as before.
  std::vector<double> ramped(backend_zones, 0);
  double rest = 1;
  if (decision.overloaded && total_capacity > 0) {
    std::size_t recovered = 0;
    for (std::size_t b = 0; b < backend_zones; ++b) {
      const Zone& z = zones_[b];
      if (z.weight * z.capacity_limit > 0 && z.listed_share < kRecoveredShare)
        ramped[b] = z.weight * z.capacity_limit / total_capacity, rest -= ramped[b];
      recovered += z.weight * z.capacity_limit > 0 && z.listed_share >= kRecoveredShare ? 1 : 0;
    }
    if (recovered == 0) ramped.assign(backend_zones, 0), rest = 1;  // every zone is still returning
    for (std::size_t b = 0; b < backend_zones; ++b) {
      problem.overload_shares.push_back(
          ramped[b] > 0 ? 0 : zones_[b].weight * zones_[b].capacity_limit / total_capacity);
      for (std::size_t a = 0; a < proxy_zones && problem.overload_shares[b] <= 0; ++a)
        problem.tier[a][b] = -1;
    }
    solution = solve(problem);
  }
  for (std::size_t a = 0; a < proxy_zones; ++a) {
    double sum = 0;
    for (const double flow : solution.flow[a]) sum += flow;
    for (std::size_t b = 0; b < backend_zones; ++b) {
      const Zone& z = zones_[b];
      const double proportional = total_capacity > 0 ? z.weight * z.capacity_limit / total_capacity
                                                     : 1.0 / static_cast<double>(backend_zones);
      target[a][b] = ramped[b] > 0 ? ramped[b]
                     : problem.tier[a][b] < 0
                         ? 0
                         : rest * (sum <= 1e-9 ? proportional : solution.flow[a][b] / sum);
    }
    // No backend zone is reachable: the module's table applies unchanged.
    if (std::all_of(target[a].begin(), target[a].end(), [](double share) { return share <= 0; }))
      target[a].assign(backend_zones, 1.0 / static_cast<double>(backend_zones));
  }
  // No proxy zone depends on one backend zone: if that failed, it would have no fallback until the next table
  // arrives.
  for (std::size_t a = 0; a < proxy_zones; ++a) {
    double sum = 0;
    for (std::size_t b = 0; b < backend_zones; ++b) {
      if (problem.tier[a][b] >= 0 && zones_[b].weight * zones_[b].capacity_limit > 0)
        target[a][b] = std::max(target[a][b], kMinShare);
      sum += target[a][b];
    }
    for (double& share : target[a]) share /= std::max(1e-9, sum);
  }
  const auto set_failover_tiers = [&] {
    decision.failover_tier.assign(proxy_zones, std::vector<int>(backend_zones, 0));
    for (std::size_t a = 0; a < proxy_zones; ++a)
      for (std::size_t b = 0; b < backend_zones; ++b)
        if (shares_[a][b] <= kMinShare * 2) decision.failover_tier[a][b] = std::max(0, tier_[a][b]);
  };
  if (shares_.empty()) {
    decision.shares = shares_ = target;
    decision.moved = 1;
    set_failover_tiers();
    return decision;
  }
  for (std::size_t a = 0; a < proxy_zones; ++a) {
    double moved = 0, forced = 0;
    for (std::size_t b = 0; b < backend_zones; ++b) {
      const double decrease = shares_[a][b] - target[a][b];
      if (decrease <= 0) continue;
      moved += decrease;
      // Work in a failed or unreachable zone moves at once.
      if (zones_[b].failed || problem.tier[a][b] < 0) forced += decrease;
    }
    if (moved < kMinMovedShare && forced <= 0) continue;
    const double limit = std::min(moved, forced + kMaxMovedShare);
    const double step = limit / moved;
    for (std::size_t b = 0; b < backend_zones; ++b) {
      double to = shares_[a][b] + (target[a][b] - shares_[a][b]) * step;
      if (zones_[b].failed || problem.tier[a][b] < 0) to = target[a][b];
      shares_[a][b] = std::max(0.0, to);
    }
    double sum = 0;
    for (const double share : shares_[a]) sum += share;
    for (double& share : shares_[a]) share /= sum;
    decision.moved += limit * zone_demand[a] / demand;
  }
  decision.shares = shares_;
  set_failover_tiers();
  return decision;
}

}  // namespace gorsemount::spillover

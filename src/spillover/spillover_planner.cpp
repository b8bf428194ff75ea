#include "spillover/spillover_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsemount::spillover {

namespace {

constexpr std::size_t kRounds = 16;  // as the module keeps its samples: some seconds
// Told only while between idle and jammed: below, throughput says nothing of capacity; above, a jam hides it.
constexpr double kIdle = 0.3, kJammed = 0.9;
// The lower quarter of what it has shown, and a twentieth less for the rounds in which reports are on their
// way.
constexpr double kQuantile = 0.25, kMargin = 0.95;
// Guards against a zone whose reports make it look idler than it is: listed weights say what zones can do
// beside each other, so no zone is believed to do much more with its weight than the middle one. Half of the
// true use told by one zone cost 0.11 of a day's service without this.
constexpr double kUnlike = 1.1;
// Tiers fill a zone only to four fifths of that: above it a burst queues. Where that does not hold the work,
// the fleet is in strain, and all of it is placed so that no zone is fuller than it need be, till that was
// not so for two holds: a zone that is filled to the brim for the sake of a tier jams, its ladders take
// weight away, and what it loses jams the next one (measured: docs/zones.md).
constexpr double kComfort = 0.8;
// Guards against a zone whose flapping takes the fleet from tiers to an even spread and back each time, which
// moves more than the fault does: each strain lasts twice as long as the one before, and one is forgotten in
// half an hour, which is as long as the longest of them.
constexpr int kStrainsMost = 6;
const Span kStrainForgotten = Span::seconds(1800);
// A zone that has under a tenth of its listed weight is lost; one above two thirds is back, as far as weights
// go.
constexpr double kLost = 0.1, kBack = 0.66;
// A trial of a hundredth, then a quarter of its capacity every second: the module's ramp and ladders pace
// what stands in the zone besides. After a relapse a tenth of that pace, and a hold that doubles, three times
// at most. Down at once.
constexpr double kTrial = 0.01, kUp = 0.25, kSlower = 0.1;
const Span kUpEvery = Span::seconds(1), kHold = Span::seconds(10);
// A step moves at most a fifth of a proxy zone's work, but for what must leave a zone that is lost; and
// nothing moves for less than a fiftieth, which is what two rounds of reports differ by.
constexpr double kStep = 0.2, kNoise = 0.02;
// Of a proxy zone's work in each zone that it can reach, whatever the tiers say.
constexpr double kFloor = 0.02;
// What a trip must be longer by before it contradicts a tier: a tenth of the quickest, which is what the
// means of a few invocations differ by, and a millisecond.
constexpr double kTripNoise = 0.1;

double quantile(std::deque<double> values, double part) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

}  // namespace

SpilloverPlanner::SpilloverPlanner(std::vector<std::vector<int>> tier)
    : tier_{std::move(tier)}, zones_(tier_.empty() ? 0 : tier_[0].size()) {}

std::optional<double> SpilloverPlanner::shown(const Zone& z) const {
  if (z.able.size() < kRounds / 2) return {};  // the first rounds lag behind a load that has just begun
  return quantile(z.able, kQuantile);
}

std::optional<double> SpilloverPlanner::capacity(std::size_t zone) const {
  const Zone& z = zones_.at(zone);
  const auto own = shown(z);
  if (!own) return {};
  std::vector<double> all;
  for (const auto& other : zones_)
    if (const auto able = shown(other)) all.push_back(*able);
  std::sort(all.begin(), all.end());
  return kMargin * std::min(*own, kUnlike * all[(all.size() - 1) / 2]) * z.weight * z.ceiling;
}

bool SpilloverPlanner::has_capacity_without(std::size_t zone) const {
  double room = 0;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    const auto able = capacity(z);
    if (!able && zones_[z].weight > 0) return true;
    if (z != zone) room += able.value_or(0);
  }
  return demand_ <= room;
}

// A zone's loss and return. Guards against a zone that flaps: it falls at once, and each climb after a
// relapse is slower.
void SpilloverPlanner::follow(Instant now, Zone& z, const ZoneSample& seen) {
  z.weight = seen.weight;
  const double part = seen.listed_weight > 0 ? seen.weight / seen.listed_weight : 0;
  const bool rises = part > std::exchange(z.part, part);
  // While the rest is in strain a first return is paced by the module's ramp alone: each second of what is
  // back is worth more than a gentler climb, and the ramp keeps cold backends far from what they fall over
  // at.
  const bool urged = now < strain_until_ && z.relapses == 0;
  z.early = part < kLost && part >= kTrial && (z.early || (urged && z.lost && rises));
  if (part < kLost && !z.early) {
    // A list that wavers for a round while a zone goes is no return that failed.
    if (!z.lost && (z.ceiling < 1 || now - z.back < kHold) && now - z.back >= kUpEvery) ++z.relapses;
    z.lost = true, z.ceiling = 0, z.since = now;
    z.held_until = now + kHold * (1 << std::min(z.relapses, 3));
    return;
  }
  if (z.lost) {
    if (now < z.held_until && z.relapses > 0) return;
    z.lost = false, z.ceiling = urged ? 1 : kTrial, z.since = z.back = now;
    return;
  }
  if (z.ceiling >= 1) {
    if (now - z.since > kHold * 4) z.relapses = 0;
    return;
  }
  if (now - z.since < kUpEvery) return;
  z.ceiling = std::min(1.0, z.ceiling + kUp * (z.relapses > 0 ? kSlower : 1)), z.since = now;
}

SpilloverPlanner::Decision SpilloverPlanner::decide(Instant now, const std::vector<ZoneSample>& seen,
                                                    const std::vector<FlowProblem::OperationDemand>& classes,
                                                    const ZoneLatencies& trips, const UnreachablePairs& cut) {
  const std::size_t proxies = tier_.size(), backends = zones_.size();
  Decision d;
  d.tier_mismatch.assign(proxies, false);
  for (std::size_t b = 0; b < backends; ++b) {
    Zone& z = zones_[b];
    const ZoneSample& n = seen[b];
    if (n.weight > 0 && n.cpu_utilization > kIdle && n.cpu_utilization < kJammed) {
      z.able.push_back(n.goodput / n.cpu_utilization / n.weight);
      if (z.able.size() > kRounds) z.able.pop_front();
    }
    follow(now, z, n);
  }
  FlowProblem p;
  p.operations = classes, p.tier = tier_;
  for (const auto& [a, b] : cut)
    if (a < proxies && b < backends) p.tier[a][b] = -1;
  double demand = 0, usual = 0;
  std::size_t told = 0;
  for (const auto& c : classes)
    for (const double n : c.demand) demand += n * c.cost;
  for (std::size_t b = 0; b < backends; ++b)
    if (const auto c = capacity(b); c && zones_[b].weight > 0 && zones_[b].ceiling > 0)
      usual += *c / zones_[b].weight / zones_[b].ceiling, ++told;
  demand_ = demand;
  if (demand <= 0) return d;
  for (std::size_t b = 0; b < backends; ++b) {
    const Zone& z = zones_[b];
    // A zone that never was busy enough to tell is taken to be like those that were; if none was, the fleet
    // is idle and any of it takes all.
    const double per_weight =
        told > 0 ? usual / static_cast<double>(told) : 2 * demand / std::max(1e-9, z.weight);
    p.capacity.push_back(kComfort * capacity(b).value_or(kMargin * per_weight * z.weight * z.ceiling));
  }
  // A trip that takes longer than to a zone of a later tier contradicts the settings; the settings stand, and
  // a person is told.
  for (std::size_t a = 0; a < proxies; ++a)
    for (std::size_t b = 0; b < backends; ++b)
      for (std::size_t c = 0; c < backends; ++c) {
        const auto to_b = trips.find({a, b}), to_c = trips.find({a, c});
        if (to_b == trips.end() || to_c == trips.end() || tier_[a][b] < 0 || tier_[a][c] <= tier_[a][b])
          continue;
        const Span least = std::min(to_b->second, to_c->second);
        if (to_b->second - to_c->second > std::max(Span::seconds(0.001), least * kTripNoise))
          d.tier_mismatch[a] = true;
      }
  std::vector<double> of_zone(proxies, 0);
  for (const auto& c : classes)
    for (std::size_t a = 0; a < proxies; ++a) of_zone[a] += c.demand[a] * c.cost;
  if (!parts_.empty()) {
    p.now.assign(proxies, std::vector<double>(backends, 0));
    for (std::size_t a = 0; a < proxies; ++a)
      for (std::size_t b = 0; b < backends; ++b) p.now[a][b] = parts_[a][b] * of_zone[a];
  }
  FlowSolution s = solve(p);
  d.admitted = s.admitted;
  std::vector<std::vector<double>> wanted(proxies, std::vector<double>(backends, 0));
  double room = 0;
  for (const auto& z : zones_) room += z.weight * z.ceiling;
  double value = 0;
  for (const auto& c : classes)
    for (const double n : c.demand) value += n * c.value;
  if (s.lost > 1e-3 * value) {
    if (now >= strain_until_) {
      const auto forgotten = (now - strain_began_).micros() / kStrainForgotten.micros();
      strains_ = static_cast<int>(
          std::max<std::int64_t>(0, strains_ - std::min<std::int64_t>(forgotten, kStrainsMost)));
      strain_began_ = now, strains_ = std::min(strains_ + 1, kStrainsMost);
    }
    strain_until_ = std::max(strain_until_, now + kHold * (1 << strains_));
  }
  d.overloaded = now < strain_until_;
  // A cold backend gets no more than the module's ramp gave it in any table, so a zone on its way back fills
  // only if all proxies feed it: each gives it the same part, and the rest goes as it went.
  std::vector<double> fed(backends, 0);
  double rest = 1;
  if (d.overloaded && room > 0) {
    std::size_t whole = 0;
    for (std::size_t b = 0; b < backends; ++b) {
      const Zone& z = zones_[b];
      if (z.weight * z.ceiling > 0 && z.part < kBack) fed[b] = z.weight * z.ceiling / room, rest -= fed[b];
      whole += z.weight * z.ceiling > 0 && z.part >= kBack ? 1 : 0;
    }
    if (whole == 0) fed.assign(backends, 0), rest = 1;  // all of them are on their way
    for (std::size_t b = 0; b < backends; ++b) {
      p.even.push_back(fed[b] > 0 ? 0 : zones_[b].weight * zones_[b].ceiling / room);
      for (std::size_t a = 0; a < proxies && p.even[b] <= 0; ++a) p.tier[a][b] = -1;
    }
    s = solve(p);
  }
  for (std::size_t a = 0; a < proxies; ++a) {
    double sum = 0;
    for (const double f : s.flow[a]) sum += f;
    for (std::size_t b = 0; b < backends; ++b) {
      const Zone& z = zones_[b];
      const double even = room > 0 ? z.weight * z.ceiling / room : 1.0 / static_cast<double>(backends);
      wanted[a][b] = fed[b] > 0         ? fed[b]
                     : p.tier[a][b] < 0 ? 0
                                        : rest * (sum <= 1e-9 ? even : s.flow[a][b] / sum);
    }
    // Cut off from all of them: the module's table stands, whatever it is worth.
    if (std::all_of(wanted[a].begin(), wanted[a].end(), [](double w) { return w <= 0; }))
      wanted[a].assign(backends, 1.0 / static_cast<double>(backends));
  }
  // Nobody holds lines of one zone only: were that lost, it would have none to turn to till a table comes.
  for (std::size_t a = 0; a < proxies; ++a) {
    double sum = 0;
    for (std::size_t b = 0; b < backends; ++b) {
      if (p.tier[a][b] >= 0 && zones_[b].weight * zones_[b].ceiling > 0)
        wanted[a][b] = std::max(wanted[a][b], kFloor);
      sum += wanted[a][b];
    }
    for (double& part : wanted[a]) part /= std::max(1e-9, sum);
  }
  const auto turn_to = [&] {
    d.failover_tier.assign(proxies, std::vector<int>(backends, 0));
    for (std::size_t a = 0; a < proxies; ++a)
      for (std::size_t b = 0; b < backends; ++b)
        if (parts_[a][b] <= kFloor * 2) d.failover_tier[a][b] = std::max(0, tier_[a][b]);
  };
  if (parts_.empty()) {
    d.shares = parts_ = wanted;
    d.moved = 1;
    turn_to();
    return d;
  }
  for (std::size_t a = 0; a < proxies; ++a) {
    double moves = 0, forced = 0;
    for (std::size_t b = 0; b < backends; ++b) {
      const double less = parts_[a][b] - wanted[a][b];
      if (less <= 0) continue;
      moves += less;
      // What stands in a lost zone, or behind a cut link, leaves now.
      if (zones_[b].lost || p.tier[a][b] < 0) forced += less;
    }
    if (moves < kNoise && forced <= 0) continue;
    const double bound = std::min(moves, forced + kStep);
    const double part = bound / moves;
    for (std::size_t b = 0; b < backends; ++b) {
      double to = parts_[a][b] + (wanted[a][b] - parts_[a][b]) * part;
      if (zones_[b].lost || p.tier[a][b] < 0) to = wanted[a][b];
      parts_[a][b] = std::max(0.0, to);
    }
    double sum = 0;
    for (const double v : parts_[a]) sum += v;
    for (double& v : parts_[a]) v /= sum;
    d.moved += bound * of_zone[a] / demand;
  }
  d.shares = parts_;
  turn_to();
  return d;
}

}  // namespace gorsemount::spillover

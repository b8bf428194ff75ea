// Spillover between zones: applies the zone shares that src/spillover decides to the policy's tables, one
// variant for each zone of proxies. The policy decides which backends get work, and their weights relative to
// the others of a zone; src/spillover decides how the work of a proxy zone is split between backend zones.
// Neither gives a backend more than the other allows.
#include <algorithm>

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

namespace {

// Limit for the increase of a line over the policy's weight: a zone with a single backend left must not get
// all the traffic.
constexpr double kMaxLineFactor = 6;
// Links whose remaining share by the policy is lower are not used for spillover.
constexpr double kDeadLinkShare = 0.05;
// Ids from here on are tables of a single proxy zone; lower ids are subsets of the shared table.
constexpr std::uint16_t kFirstZoneTableId = 1000;
// Smaller changes of a subset's share are noise of the demand.
constexpr double kMinShareChange = 0.05;
// Report rounds in the mean demand: at 500 invocations per round and zone its noise is 1.5%.
constexpr std::size_t kDemandRounds = 8;
// The latency between zones is the median of so many rounds; a backend counts in a round with at least so
// many tries.
constexpr std::size_t kLatencyRounds = 9;
constexpr int kMinLatencyTries = 2;

}  // namespace

void Coordinator::update_spillover(const std::vector<Event>& reports) {
  const std::size_t zones = settings_.zones.size();
  std::vector<spillover::ZoneSample> now(zones);
  std::vector<std::pair<double, double>> utilization(zones);  // sum and count
  for (const auto& [id, record] : backends_)
    if (record.announced && record.announced->availability == Availability::ready)
      now[record.entry.zone.value].listed_weight += record.announced->weight;
  for (const auto& [id, table] : current_tables_) {
    // Subsets of the shared table only; the tables of single zones repeat their lines.
    if (id.value >= kFirstZoneTableId) continue;
    for (const auto& [backend, weight] : table->lines)
      if (const auto record = backends_.find(backend); record != backends_.end())
        now[record->second.entry.zone.value].weight += weight;
  }
  double mean_cost = 0, all = 0;
  std::vector<spillover::FlowProblem::OperationDemand> classes;
  for (const auto& op : settings_.operations)
    classes.push_back({op.billed_value, op.latency_objective.seconds(), std::vector<double>(zones, 0)});
  for (const auto& event : reports)
    if (const auto* d = std::get_if<DemandReport>(&event);
        d != nullptr && d->operation.value < classes.size() && d->interval > Span{}) {
      const bool from_forwarder = is_forwarder(d->proxy);
      const std::size_t index = from_forwarder ? d->proxy.value - kFirstForwarderId : d->proxy.value;
      if (index >= (from_forwarder ? settings_.forwarders.size() : settings_.groups.size())) continue;
      const ZoneId zone = from_forwarder ? settings_.forwarders[index].zone : settings_.groups[index].zone;
      const double rate = d->arrived / d->interval.seconds();
      classes[d->operation.value].demand[zone.value] += rate;
      mean_cost += rate * classes[d->operation.value].cost, all += rate;
    }
  mean_cost = all > 0 ? mean_cost / all : 0;
  // The demand of one round and zone varies by some percent, so the mean of the last rounds is used.
  recent_demand_.push_back(classes);
  if (recent_demand_.size() > kDemandRounds) recent_demand_.pop_front();
  for (std::size_t c = 0; c < classes.size(); ++c)
    for (std::size_t z = 0; z < zones; ++z) {
      double sum = 0;
      for (const auto& round : recent_demand_) sum += round[c].demand[z];
      classes[c].demand[z] = sum / static_cast<double>(recent_demand_.size());
    }
  // Reports also count health checks, equally many for each worker. So the total is taken from the demand,
  // and the reports only give each zone's share of it.
  double total_succeeded = 0;
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event); r != nullptr && r->interval > Span{})
      total_succeeded += (r->tries - r->errored) / r->interval.seconds();
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event);
        r != nullptr && r->interval > Span{} && total_succeeded > 0) {
      const auto record = backends_.find(r->backend);
      if (record == backends_.end()) continue;
      const std::size_t z = record->second.entry.zone.value;
      now[z].goodput += (r->tries - r->errored) / r->interval.seconds() / total_succeeded * all * mean_cost;
      if (r->utilization) utilization[z].first += *r->utilization, utilization[z].second += 1;
    }
  for (std::size_t z = 0; z < zones; ++z)
    now[z].cpu_utilization = utilization[z].second > 0 ? utilization[z].first / utilization[z].second : 0;
  spillover::UnreachablePairs dead_links;
  if (decision_maker_.export_state)
    for (const auto& [link, share_state] : decision_maker_.export_state(now_).links)
      if (share_state.share < kDeadLinkShare) dead_links.emplace(link.first.value, link.second.value);
  const auto d = spill_->decide(now_, now, classes, zone_latencies(reports), dead_links);
  if (d.tier_mismatch != tier_mismatch_) {
    for (std::size_t z = 0; z < d.tier_mismatch.size(); ++z)
      if (d.tier_mismatch[z] && (tier_mismatch_.empty() || !tier_mismatch_[z]))
        log_event(LogEvent::Severity::warning, "tiers_doubted", {{"zone", settings_.zones[z]}});
    tier_mismatch_ = d.tier_mismatch;
  }
  if (d.overloaded != overloaded_) {
    std::string lost, drained;
    for (std::size_t z = 0; z < zones; ++z) {
      if (now[z].listed_weight > 0 && now[z].weight < 0.1 * now[z].listed_weight)
        lost += (lost.empty() ? "" : " ") + settings_.zones[z];
      if (operator_overrides_.drained(settings_.zones[z]))
        drained += (drained.empty() ? "" : " ") + settings_.zones[z];
    }
    // An operator's drain stays in force; the log tells the operator what it costs now.
    log_event(LogEvent::Severity::warning, d.overloaded ? "strain_began" : "strain_over",
              {{"zones_lost", lost}, {"drained_by_person", drained}});
    overloaded_ = d.overloaded;
  }
  update_subset_shares();
  if (d.shares.empty() || (d.shares == zone_shares_ && d.failover_tier == failover_tiers_)) return;
  zone_shares_ = d.shares, failover_tiers_ = d.failover_tier;
  ++spillover_generation_;
}

// Updates the share of each proxy zone's work that is bound to each subset.
void Coordinator::update_subset_shares() {
  std::map<std::pair<TableId, ZoneId>, double> share;
  std::map<ZoneId, double> all;
  for (const auto& [proxy, table] : bound_tables_) {
    const ZoneId zone = is_forwarder(proxy) ? settings_.forwarders[proxy.value - kFirstForwarderId].zone
                                            : settings_.groups[proxy.value].zone;
    const double rate = proxy_presence_.usual_rate(proxy);
    share[{table, zone}] += rate, all[zone] += rate;
  }
  bool changed = share.size() != subset_shares_.size();
  for (auto& [key, part] : share) {
    part = all[key.second] > 0 ? part / all[key.second] : 0;
    const auto was = subset_shares_.find(key);
    changed = changed || was == subset_shares_.end() || std::abs(was->second - part) > kMinShareChange;
  }
  if (!changed) return;
  subset_shares_ = std::move(share);
  ++spillover_generation_;
}

// The zone shares for one subset: a subset with more than its share of a backend zone's lines sends more of
// its work there, so that a worker's load does not depend on its subset. Work for which the subset has too
// few lines goes to the other zones in proportion to their lines.
std::vector<double> Coordinator::subset_zone_shares(const Table& table, ZoneId proxies,
                                                    const std::vector<double>& in_table) const {
  std::vector<double> parts = zone_shares_[proxies.value], total(parts.size(), 0);
  const auto share = subset_shares_.find({table.id, proxies});
  if (share == subset_shares_.end() || share->second <= 0) return parts;
  for (const auto& [id, version] : current_tables_)
    if (id.value < kFirstZoneTableId)
      for (const auto& [backend, weight] : version->lines)
        if (const auto record = backends_.find(backend); record != backends_.end())
          total[record->second.entry.zone.value] += weight;
  double sum = 0, lines = 0;
  for (std::size_t z = 0; z < parts.size(); ++z) {
    parts[z] *= total[z] > 0 ? in_table[z] / total[z] / share->second : 0;
    sum += parts[z], lines += parts[z] > 0 ? in_table[z] : 0;
  }
  if (sum <= 0 || lines <= 0) return zone_shares_[proxies.value];
  if (sum >= 1) {
    for (double& part : parts) part /= sum;
    return parts;
  }
  const auto most = static_cast<std::size_t>(std::max_element(parts.begin(), parts.end()) - parts.begin());
  const double others = lines - in_table[most];
  for (std::size_t z = 0; z < parts.size(); ++z) {
    if (parts[z] <= 0) continue;
    if (others <= 0) {
      parts[z] /= sum;
    } else if (z != most) {
      parts[z] += (1 - sum) * in_table[z] / others;
    }
  }
  return parts;
}

// Latency between zones: the mean of the fastest backend in each round, so that queueing does not count as
// distance, and the median over rounds.
spillover::ZoneLatencies Coordinator::zone_latencies(const std::vector<Event>& reports) {
  spillover::ZoneLatencies fastest;
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event);
        r != nullptr && r->tries - r->errored >= kMinLatencyTries && r->mean_latency > Span{}) {
      const auto record = backends_.find(r->backend);
      if (record == backends_.end() || !warm(record->second)) continue;
      const auto [it, fresh] =
          fastest.try_emplace({r->proxy_zone.value, record->second.entry.zone.value}, r->mean_latency);
      if (!fresh) it->second = std::min(it->second, r->mean_latency);
    }
  spillover::ZoneLatencies medians;
  for (const auto& [pair, span] : fastest) {
    auto& rounds = recent_latencies_[pair];
    rounds.push_back(span);
    if (rounds.size() > kLatencyRounds) rounds.pop_front();
    if (rounds.size() < kLatencyRounds) continue;
    std::vector<Span> sorted{rounds.begin(), rounds.end()};
    std::nth_element(sorted.begin(), sorted.begin() + kLatencyRounds / 2, sorted.end());
    medians[pair] = sorted[kLatencyRounds / 2];
  }
  return medians;
}

TablePtr Coordinator::spillover_table(TablePtr table, ZoneId proxies) {
  if (zone_shares_.empty() || proxies.value >= zone_shares_.size()) return table;
  auto& [key, previous] = spillover_tables_[{table->id, proxies}];
  if (previous && key == std::pair{table->version, spillover_generation_}) return previous;
  key = {table->version, spillover_generation_};
  std::vector<double> weight(settings_.zones.size(), 0);
  double all = 0;
  for (const auto& [id, w] : table->lines)
    if (const auto record = backends_.find(id); record != backends_.end())
      weight[record->second.entry.zone.value] += w, all += w;
  const auto parts = subset_zone_shares(*table, proxies, weight);
  Table fresh = *table;
  bool has_warm = false;
  for (auto it = fresh.lines.begin(); it != fresh.lines.end();) {
    const auto record = backends_.find(it->first);
    const std::size_t z = record == backends_.end() ? 0 : record->second.entry.zone.value;
    double factor = record == backends_.end() || weight[z] <= 0
                        ? 1
                        : std::min(kMaxLineFactor, parts[z] * all / weight[z]);
    // A backend in slow start never gets more than the policy gave it.
    if (record != backends_.end() && !warm(record->second)) factor = std::min(1.0, factor);
    it->second *= factor;
    // Below a thousandth of a usual line it is not worth a message and a connection.
    if (factor < 1e-3) {
      it = fresh.lines.erase(it);
      continue;
    }
    has_warm = has_warm || (record != backends_.end() && warm(record->second));
    ++it;
  }
  // a warm backend for each proxy takes precedence over any zone preference
  if (!has_warm) return previous = table;
  // A line that changed by less than a tenth keeps its weight, or each round would resend every line. A cold
  // backend must not keep a weight that is too high. Only relative weights count, so the tables are first
  // scaled to the same total: a proxy zone that has lost all lines of one backend zone keeps its other lines
  // as they are.
  if (previous) {
    double before = 0, after = 0;
    for (const auto& [id, w] : fresh.lines)
      if (const auto was = previous->lines.find(id); was != previous->lines.end())
        before += was->second, after += w;
    const double scale = after > 0 && before > 0 ? before / after : 1;
    for (auto& [id, w] : fresh.lines) {
      w *= scale;
      const auto was = previous->lines.find(id);
      if (was == previous->lines.end() || std::abs(was->second - w) >= 0.1 * was->second) continue;
      const auto record = backends_.find(id);
      if (w >= was->second || (record != backends_.end() && warm(record->second))) w = was->second;
    }
  }
  if (proxies.value < failover_tiers_.size()) fresh.tiers = failover_tiers_[proxies.value];
  if (previous && previous->lines == fresh.lines && previous->levels == fresh.levels &&
      previous->tiers == fresh.tiers)
    return previous;
  fresh.version = ++table_version_;
  fresh.urgent = table->urgent;
  return previous = std::make_shared<const Table>(std::move(fresh));
}

}  // namespace gorsemount::coordinator

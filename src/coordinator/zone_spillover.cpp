// Flows between zones: what spill decided is laid over the module's tables, one version for each zone of
// proxies. Who decides what: the module, which backends may have work and how much beside their like; spill,
// how a zone of proxies splits between zones of backends; neither gives what the other takes away.
#include <algorithm>

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

namespace {

// No line gets over so many times what the module gave it: a zone of which a single backend is left is not
// for all.
constexpr double kFactorMost = 6;
// A link of which the module's ladder has left less is cut, as far as flows go.
constexpr double kLinkGone = 0.05;
// From here on tables are the module's for one zone of proxies; below, the cuts of the shared one.
constexpr std::uint16_t kFirstOwnTable = 1000;
// A cut's share that moved by less is noise of what came.
constexpr double kShareMoved = 0.05;
// Rounds of demand that count: at 500 invocations a round and zone their mean is noise by 1.5%.
constexpr std::size_t kDemandRounds = 8;
// A trip is the middle of so many rounds; a backend counts that was met so often in one.
constexpr std::size_t kTripRounds = 9;
constexpr int kTripTries = 2;

}  // namespace

void Coordinator::decide_spill(const std::vector<Event>& reports) {
  const std::size_t zones = s_.zones.size();
  std::vector<spillover::ZoneSample> now(zones);
  std::vector<std::pair<double, double>> busy(zones);  // sum, and of how many
  for (const auto& [id, row] : rows_)
    if (row.told && row.told->availability == Availability::ready)
      now[row.entry.zone.value].listed_weight += row.told->weight;
  for (const auto& [id, table] : versions_) {
    // The cuts of the shared table; a zone's own tables repeat their lines.
    if (id.value >= kFirstOwnTable) continue;
    for (const auto& [backend, weight] : table->lines)
      if (const auto row = rows_.find(backend); row != rows_.end())
        now[row->second.entry.zone.value].weight += weight;
  }
  double mean_cost = 0, all = 0;
  std::vector<spillover::FlowProblem::OperationDemand> classes;
  for (const auto& op : s_.operations)
    classes.push_back({op.billed_value, op.latency_objective.seconds(), std::vector<double>(zones, 0)});
  for (const auto& event : reports)
    if (const auto* d = std::get_if<DemandReport>(&event);
        d != nullptr && d->operation.value < classes.size() && d->interval > Span{}) {
      const bool front = is_forwarder(d->proxy);
      const std::size_t place = front ? d->proxy.value - kFirstForwarderId : d->proxy.value;
      if (place >= (front ? s_.forwarders.size() : s_.groups.size())) continue;
      const ZoneId zone = front ? s_.forwarders[place].zone : s_.groups[place].zone;
      const double rate = d->arrived / d->interval.seconds();
      classes[d->operation.value].demand[zone.value] += rate;
      mean_cost += rate * classes[d->operation.value].cost, all += rate;
    }
  mean_cost = all > 0 ? mean_cost / all : 0;
  // A round's count of a zone is noise by some percent; the mean of the last ones is not.
  demands_.push_back(classes);
  if (demands_.size() > kDemandRounds) demands_.pop_front();
  for (std::size_t c = 0; c < classes.size(); ++c)
    for (std::size_t z = 0; z < zones; ++z) {
      double sum = 0;
      for (const auto& round : demands_) sum += round[c].demand[z];
      classes[c].demand[z] = sum / static_cast<double>(demands_.size());
    }
  // Reports count health calls too, of which each worker gets as many: so what came in is what arrived, and
  // they tell only whose part of it came back.
  double came_back = 0;
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event); r != nullptr && r->interval > Span{})
      came_back += (r->tries - r->errored) / r->interval.seconds();
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event);
        r != nullptr && r->interval > Span{} && came_back > 0) {
      const auto row = rows_.find(r->backend);
      if (row == rows_.end()) continue;
      const std::size_t z = row->second.entry.zone.value;
      now[z].goodput += (r->tries - r->errored) / r->interval.seconds() / came_back * all * mean_cost;
      if (r->utilization) busy[z].first += *r->utilization, busy[z].second += 1;
    }
  for (std::size_t z = 0; z < zones; ++z)
    now[z].cpu_utilization = busy[z].second > 0 ? busy[z].first / busy[z].second : 0;
  spillover::UnreachablePairs cut;
  if (decide_.export_state)
    for (const auto& [link, rung] : decide_.export_state(now_).links)
      if (rung.share < kLinkGone) cut.emplace(link.first.value, link.second.value);
  const auto d = spill_->decide(now_, now, classes, trips(reports), cut);
  if (d.tier_mismatch != tiers_doubted_) {
    for (std::size_t z = 0; z < d.tier_mismatch.size(); ++z)
      if (d.tier_mismatch[z] && (tiers_doubted_.empty() || !tiers_doubted_[z]))
        note(LogEvent::Severity::warning, "tiers_doubted", {{"zone", s_.zones[z]}});
    tiers_doubted_ = d.tier_mismatch;
  }
  if (d.overloaded != strain_) {
    std::string lost, drained;
    for (std::size_t z = 0; z < zones; ++z) {
      if (now[z].listed_weight > 0 && now[z].weight < 0.1 * now[z].listed_weight)
        lost += (lost.empty() ? "" : " ") + s_.zones[z];
      if (persons_.drained(s_.zones[z])) drained += (drained.empty() ? "" : " ") + s_.zones[z];
    }
    // A person's drain stands all the same: whoever ordered it is told what it costs now.
    note(LogEvent::Severity::warning, d.overloaded ? "strain_began" : "strain_over",
         {{"zones_lost", lost}, {"drained_by_person", drained}});
    strain_ = d.overloaded;
  }
  share_cuts();
  if (d.shares.empty() || (d.shares == parts_of_zones_ && d.failover_tier == turn_to_)) return;
  parts_of_zones_ = d.shares, turn_to_ = d.failover_tier;
  ++spill_version_;
}

// How much of a zone of proxies' work goes by each cut.
void Coordinator::share_cuts() {
  std::map<std::pair<TableId, ZoneId>, double> share;
  std::map<ZoneId, double> all;
  for (const auto& [proxy, table] : bound_) {
    const ZoneId zone = is_forwarder(proxy) ? s_.forwarders[proxy.value - kFirstForwarderId].zone
                                            : s_.groups[proxy.value].zone;
    const double rate = attendance_.usual_rate(proxy);
    share[{table, zone}] += rate, all[zone] += rate;
  }
  bool moved = share.size() != cut_shares_.size();
  for (auto& [key, part] : share) {
    part = all[key.second] > 0 ? part / all[key.second] : 0;
    const auto was = cut_shares_.find(key);
    moved = moved || was == cut_shares_.end() || std::abs(was->second - part) > kShareMoved;
  }
  if (!moved) return;
  cut_shares_ = std::move(share);
  ++spill_version_;
}

// The parts of a zone of proxies' work as one cut is to carry them: a cut that has more than its share of a
// zone's lines takes more of what goes there, so that a worker's load does not hang on the cut it fell into.
// What a cut has too few lines for goes to the other zones by their lines.
std::vector<double> Coordinator::parts_of_cut(const Table& table, ZoneId proxies,
                                              const std::vector<double>& in_table) const {
  std::vector<double> parts = parts_of_zones_[proxies.value], total(parts.size(), 0);
  const auto share = cut_shares_.find({table.id, proxies});
  if (share == cut_shares_.end() || share->second <= 0) return parts;
  for (const auto& [id, version] : versions_)
    if (id.value < kFirstOwnTable)
      for (const auto& [backend, weight] : version->lines)
        if (const auto row = rows_.find(backend); row != rows_.end())
          total[row->second.entry.zone.value] += weight;
  double sum = 0, lines = 0;
  for (std::size_t z = 0; z < parts.size(); ++z) {
    parts[z] *= total[z] > 0 ? in_table[z] / total[z] / share->second : 0;
    sum += parts[z], lines += parts[z] > 0 ? in_table[z] : 0;
  }
  if (sum <= 0 || lines <= 0) return parts_of_zones_[proxies.value];
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

// Of each round the quickest backends' means, so that a queue is not taken for a long way; of those the
// middle.
spillover::ZoneLatencies Coordinator::trips(const std::vector<Event>& reports) {
  spillover::ZoneLatencies quickest;
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event);
        r != nullptr && r->tries - r->errored >= kTripTries && r->mean_latency > Span{}) {
      const auto row = rows_.find(r->backend);
      if (row == rows_.end() || !warm(row->second)) continue;
      const auto [it, fresh] =
          quickest.try_emplace({r->proxy_zone.value, row->second.entry.zone.value}, r->mean_latency);
      if (!fresh) it->second = std::min(it->second, r->mean_latency);
    }
  spillover::ZoneLatencies middle;
  for (const auto& [pair, span] : quickest) {
    auto& rounds = trips_[pair];
    rounds.push_back(span);
    if (rounds.size() > kTripRounds) rounds.pop_front();
    if (rounds.size() < kTripRounds) continue;
    std::vector<Span> sorted{rounds.begin(), rounds.end()};
    std::nth_element(sorted.begin(), sorted.begin() + kTripRounds / 2, sorted.end());
    middle[pair] = sorted[kTripRounds / 2];
  }
  return middle;
}

TablePtr Coordinator::spilled(TablePtr table, ZoneId proxies) {
  if (parts_of_zones_.empty() || proxies.value >= parts_of_zones_.size()) return table;
  auto& [key, made] = spilled_[{table->id, proxies}];
  if (made && key == std::pair{table->version, spill_version_}) return made;
  key = {table->version, spill_version_};
  std::vector<double> weight(s_.zones.size(), 0);
  double all = 0;
  for (const auto& [id, w] : table->lines)
    if (const auto row = rows_.find(id); row != rows_.end())
      weight[row->second.entry.zone.value] += w, all += w;
  const auto parts = parts_of_cut(*table, proxies, weight);
  Table fresh = *table;
  bool warm_left = false;
  for (auto it = fresh.lines.begin(); it != fresh.lines.end();) {
    const auto row = rows_.find(it->first);
    const std::size_t z = row == rows_.end() ? 0 : row->second.entry.zone.value;
    double factor =
        row == rows_.end() || weight[z] <= 0 ? 1 : std::min(kFactorMost, parts[z] * all / weight[z]);
    // A backend that is starting never gets more than the module's ramp gave it.
    if (row != rows_.end() && !warm(row->second)) factor = std::min(1.0, factor);
    it->second *= factor;
    // Under a thousandth of a usual line it is worth no message and no connection.
    if (factor < 1e-3) {
      it = fresh.lines.erase(it);
      continue;
    }
    warm_left = warm_left || (row != rows_.end() && warm(row->second));
    ++it;
  }
  if (!warm_left) return made = table;  // rule 1 goes before any preference
  // What moved by less than a tenth keeps its number, or every round would send every line; but for a backend
  // that is starting, which must not keep more than it is to have. Only what a line weighs beside the others
  // counts, so both tables are brought to one scale first: a proxy zone that has lost a whole zone of lines
  // keeps all that it has left as it is.
  if (made) {
    double before = 0, after = 0;
    for (const auto& [id, w] : fresh.lines)
      if (const auto was = made->lines.find(id); was != made->lines.end()) before += was->second, after += w;
    const double scale = after > 0 && before > 0 ? before / after : 1;
    for (auto& [id, w] : fresh.lines) {
      w *= scale;
      const auto was = made->lines.find(id);
      if (was == made->lines.end() || std::abs(was->second - w) >= 0.1 * was->second) continue;
      const auto row = rows_.find(id);
      if (w >= was->second || (row != rows_.end() && warm(row->second))) w = was->second;
    }
  }
  if (proxies.value < turn_to_.size()) fresh.tiers = turn_to_[proxies.value];
  if (made && made->lines == fresh.lines && made->levels == fresh.levels && made->tiers == fresh.tiers)
    return made;
  fresh.version = ++table_version_;
  fresh.urgent = table->urgent;
  return made = std::make_shared<const Table>(std::move(fresh));
}

}  // namespace gorsemount::coordinator

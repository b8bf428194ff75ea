// Flows between zones: what spill decided is laid over the module's tables, one version for each zone of proxies. Who
// decides what: the module, which backends may have work and how much beside their like; spill, how a zone of proxies
// splits between zones of backends; neither gives what the other takes away.
#include <algorithm>

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

namespace {

// No line gets over so many times what the module gave it: a zone of which a single backend is left is not for all.
constexpr double kFactorMost = 6;
// A link of which the module's ladder has left less is cut, as far as flows go.
constexpr double kLinkGone = 0.05;
// A trip is the middle of so many rounds; a backend counts that was met so often in one.
constexpr std::size_t kTripRounds = 9;
constexpr int kTripTries = 2;

}  // namespace

void Coordinator::decide_spill(const std::vector<Event>& reports) {
  const std::size_t zones = s_.zones.size();
  std::vector<spill::ZoneNow> now(zones);
  std::vector<std::pair<double, double>> busy(zones);  // sum, and of how many
  for (const auto& [id, row] : rows_)
    if (row.told && row.told->availability == Availability::ready) now[row.entry.zone.value].listed += row.told->weight;
  for (const auto& [id, table] : versions_) {
    // The cuts of the shared table; a zone's own tables repeat their lines.
    if (id.value >= 1000) continue;
    for (const auto& [backend, weight] : table->lines)
      if (const auto row = rows_.find(backend); row != rows_.end()) now[row->second.entry.zone.value].weight += weight;
  }
  double mean_cost = 0, all = 0;
  std::vector<spill::Problem::Class> classes;
  for (const auto& op : s_.operations) classes.push_back({op.billed_value, op.latency_objective.seconds(), std::vector<double>(zones, 0)});
  for (const auto& event : reports)
    if (const auto* d = std::get_if<DemandReport>(&event); d != nullptr && d->operation.value < classes.size() && d->over > Span{}) {
      const bool front = is_forwarder(d->proxy);
      const std::size_t place = front ? d->proxy.value - kFirstForwarder : d->proxy.value;
      if (place >= (front ? s_.forwarders.size() : s_.groups.size())) continue;
      const ZoneId zone = front ? s_.forwarders[place].zone : s_.groups[place].zone;
      const double rate = d->arrived / d->over.seconds();
      classes[d->operation.value].demand[zone.value] += rate;
      mean_cost += rate * classes[d->operation.value].cost, all += rate;
    }
  mean_cost = all > 0 ? mean_cost / all : 0;
  // Reports count health calls too, of which each worker gets as many: so what came in is what arrived, and they tell
  // only whose part of it came back.
  double came_back = 0;
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event); r != nullptr && r->over > Span{}) came_back += (r->tries - r->errored) / r->over.seconds();
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event); r != nullptr && r->over > Span{} && came_back > 0) {
      const auto row = rows_.find(r->backend);
      if (row == rows_.end()) continue;
      const std::size_t z = row->second.entry.zone.value;
      now[z].carried += (r->tries - r->errored) / r->over.seconds() / came_back * all * mean_cost;
      if (r->busy) busy[z].first += *r->busy, busy[z].second += 1;
    }
  for (std::size_t z = 0; z < zones; ++z) now[z].pressure = busy[z].second > 0 ? busy[z].first / busy[z].second : 0;
  spill::Cut cut;
  if (decide_.remember)
    for (const auto& [link, rung] : decide_.remember(now_).links)
      if (rung.share < kLinkGone) cut.emplace(link.first.value, link.second.value);
  const auto d = spill_->decide(now_, now, classes, trips(reports), cut);
  if (d.tiers_doubted != tiers_doubted_) {
    for (std::size_t z = 0; z < d.tiers_doubted.size(); ++z)
      if (d.tiers_doubted[z] && (tiers_doubted_.empty() || !tiers_doubted_[z])) note(Note::Weight::warning, "tiers_doubted", {{"zone", s_.zones[z]}});
    tiers_doubted_ = d.tiers_doubted;
  }
  if (d.parts.empty() || (d.parts == parts_of_zones_ && d.turn_to == turn_to_)) return;
  parts_of_zones_ = d.parts, turn_to_ = d.turn_to;
  ++spill_version_;
}

// Of each round the quickest backends' means, so that a queue is not taken for a long way; of those the middle.
spill::Trips Coordinator::trips(const std::vector<Event>& reports) {
  spill::Trips quickest;
  for (const auto& event : reports)
    if (const auto* r = std::get_if<BackendReport>(&event); r != nullptr && r->tries - r->errored >= kTripTries && r->mean_latency > Span{}) {
      const auto row = rows_.find(r->backend);
      if (row == rows_.end() || !warm(row->second)) continue;
      const auto [it, fresh] = quickest.try_emplace({r->proxies_in.value, row->second.entry.zone.value}, r->mean_latency);
      if (!fresh) it->second = std::min(it->second, r->mean_latency);
    }
  spill::Trips middle;
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
  const auto& parts = parts_of_zones_[proxies.value];
  std::vector<double> weight(s_.zones.size(), 0);
  double all = 0;
  for (const auto& [id, w] : table->lines)
    if (const auto row = rows_.find(id); row != rows_.end()) weight[row->second.entry.zone.value] += w, all += w;
  Table fresh = *table;
  bool warm_left = false;
  for (auto it = fresh.lines.begin(); it != fresh.lines.end();) {
    const auto row = rows_.find(it->first);
    const std::size_t z = row == rows_.end() ? 0 : row->second.entry.zone.value;
    double factor = row == rows_.end() || weight[z] <= 0 ? 1 : std::min(kFactorMost, parts[z] * all / weight[z]);
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
  // What moved by less than a tenth keeps its number, or every round would send every line; but for a backend that is
  // starting, which must not keep more than it is to have.
  if (made)
    for (auto& [id, w] : fresh.lines) {
      const auto was = made->lines.find(id);
      if (was == made->lines.end() || std::abs(was->second - w) >= 0.1 * was->second) continue;
      const auto row = rows_.find(id);
      if (w >= was->second || (row != rows_.end() && warm(row->second))) w = was->second;
    }
  if (proxies.value < turn_to_.size()) fresh.tiers = turn_to_[proxies.value];
  if (made && made->lines == fresh.lines && made->levels == fresh.levels && made->tiers == fresh.tiers) return made;
  fresh.version = ++table_version_;
  fresh.urgent = table->urgent;
  return made = std::make_shared<const Table>(std::move(fresh));
}

}  // namespace gorsemount::coordinator

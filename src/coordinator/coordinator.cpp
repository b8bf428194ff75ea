#include "coordinator/coordinator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsemount::coordinator {

namespace {

// A backend that the list calls ready is told to the module once it has said when it started, or after this
// part of the time that rule 1 allows: without its start a cold one would pass for warm.
constexpr double kIntroduction = 0.4;

const Span kForget = Span::seconds(600);  // above any client's caching that we heard of

OperationId op_at(std::size_t k) { return OperationId{static_cast<std::uint8_t>(k)}; }

const char* name_of(Availability a) {
  constexpr const char* names[] = {"ready", "draining", "gone"};
  return names[static_cast<std::size_t>(a)];
}

}  // namespace

gorsemount::Settings module_settings(const Settings& s) {
  gorsemount::Settings m;
  for (const auto& op : s.operations) m.operations.push_back({op.effect, op.latency_objective, op.billed_value});
  m.level_kind = s.levels ? LevelKind::share : LevelKind::off;
  m.report_every = s.report_every;
  m.intake = 1e9;  // report lines never wait here: evidence is summed up by the round
  m.backlog = s.backlog, m.push_rate = s.lines_per_second, m.per_message = s.per_message;
  m.messages_most = s.messages_most, m.messages_window = s.messages_window;
  // Every group may ask every coordinator, so each has them all.
  m.proxies = static_cast<double>(s.groups.size()) * s.coordinators, m.coordinators = s.coordinators;
  m.keepalive = s.keepalive;
  m.ask_within = s.unserved;
  m.drain_grace = s.drain_grace, m.removal_binds = s.removal_binds;
  m.cold_from = s.cold_from, m.cold_for = s.cold_for, m.tip_multiple = s.tip_multiple;
  return m;
}

Decide module_of(const Settings& settings) {
  auto policy = std::make_shared<Policy>(module_settings(settings), settings.seed);
  return [policy](Instant now, const std::vector<Event>& events) { return policy->handle(now, events); };
}

Span answer_lifetime(const Settings& s) {
  const double room = std::floor((s.drain_grace - s.use_after).seconds() / 2);
  return Span::seconds(std::clamp(room, 0.0, std::floor(s.lifetime_most.seconds())));
}

Coordinator::Coordinator(Settings settings, Decide decide)
    : s_{std::move(settings)},
      decide_{std::move(decide)},
      group_map_{std::make_shared<const GroupMap>(s_)},
      evidence_{s_, [this](const Address& a) { return group_map_->of(a); }},
      directory_{std::make_shared<const std::map<BackendId, Known>>()} {}

void Coordinator::note(Note::Weight weight, std::string event,
                       std::vector<std::pair<std::string, std::string>> fields) {
  out_.notes.push_back({weight, std::move(event), std::move(fields)});
}

std::optional<BackendId> Coordinator::id_of(const std::string& name) const {
  const auto it = ids_.find(name);
  return it == ids_.end() ? std::nullopt : std::optional{it->second};
}

Counters Coordinator::counters() const {
  Counters c = counters_;
  c.held_back = channel_.held_back(), c.most_waiting = channel_.most_waiting();
  return c;
}

bool Coordinator::warm(const Row& row) const {
  return row.told && (!row.told->started || now_ - *row.told->started >= s_.cold_for);
}

// ---- What comes in -------------------------------------------------------------------------------------

void Coordinator::absorb(const RosterHeard& e) {
  std::set<BackendId> lost;
  for (const auto& [id, row] : rows_)
    if (row.listed) lost.insert(id);
  for (const auto& entry : e.entries) {
    const auto [it, unknown] = ids_.try_emplace(entry.name, BackendId{next_id_});
    next_id_ += unknown ? 1 : 0;
    lost.erase(it->second);
    auto [row, fresh] = rows_.try_emplace(it->second, Row{entry, now_, true, {}, {}});
    if (!fresh && !(row->second.entry.at == entry.at && row->second.listed)) {
      // Another place is another process: what is known of the one before ends here.
      evidence_.forget(it->second);
      row->second.first_seen = now_;
      row->second.learned = now_;
    }
    if (fresh || !row->second.listed || !(row->second.entry == entry)) touched_.insert(it->second), dirty_ = restand_ = true;
    if (!row->second.told) untold_.insert(it->second);
    row->second.entry = entry, row->second.listed = true;
  }
  listed_ = e.entries.size();
  for (const auto id : lost) rows_.at(id).listed = false, touched_.insert(id);
  for (const auto id : std::set<BackendId>{absent_}) heed_absence(id);
  forget_old();
}

// What left the list long ago is forgotten, so that names that come and go for ever take no more memory.
void Coordinator::forget_old() {
  for (auto it = rows_.begin(); it != rows_.end();) {
    const auto& [id, row] = *it;
    if (row.listed || now_ - row.learned < kForget) {
      ++it;
      continue;
    }
    ids_.erase(row.entry.name), doubts_.erase(id), unheard_.erase(id), untold_.erase(id), touched_.erase(id);
    evidence_.forget(id);
    it = rows_.erase(it);
    dirty_ = restand_ = true;
  }
}

void Coordinator::absorb(const LoadHeard& e) {
  const auto row = rows_.find(e.backend);
  if (row == rows_.end() || !row->second.listed) return;
  const Doubt doubt = evidence_.load(now_, e.backend, e.asked, e.sample);
  unheard_.erase(e.backend);
  touched_.insert(e.backend);
  if (absent_.contains(e.backend)) heed_absence(e.backend);
  counters_.doubted += doubt == Doubt::none ? 0 : 1;
  Doubt& last = doubts_[e.backend];
  if (doubt != last)
    note(doubt == Doubt::none ? Note::Weight::info : Note::Weight::warning, "load_doubted",
         {{"backend", row->second.entry.name}, {"doubt", coordinator::name_of(doubt)}});
  last = doubt;
}

void Coordinator::absorb(const LoadMissing& e) {
  const auto row = rows_.find(e.backend);
  if (row == rows_.end() || !unheard_.insert(e.backend).second) return;
  note(Note::Weight::warning, "load_missing", {{"backend", row->second.entry.name}, {"why", e.why}});
}

void Coordinator::absorb(const HealthHeard& e) {
  const auto row = rows_.find(e.backend);
  if (row == rows_.end() || !row->second.listed) return;
  const bool was = evidence_.absent(e.backend);
  evidence_.health(e.backend, e.health, e.took);
  if (evidence_.absent(e.backend) != was) heed_absence(e.backend);
}

void Coordinator::absorb(const LookedUp& e) {
  if (e.group.value >= s_.groups.size()) return;
  for (auto& event : attendance_.looked_up(now_, e.group)) {
    channel_.join(e.group);
    note(Note::Weight::info, "group_joined", {{"group", s_.groups[e.group.value].name}});
    events_.push_back(std::move(event));
  }
}

void Coordinator::absorb(const Retuned& e) {
  for (const auto& [group, seen] : attendance_.present()) {
    events_.emplace_back(ProxyLeft{group});
    channel_.leave(group), bound_.erase(group);
  }
  s_.groups = e.settings.groups, s_.trusted_resolvers = e.settings.trusted_resolvers;
  s_.lifetime_most = e.settings.lifetime_most, s_.group_idle = e.settings.group_idle;
  s_.lines_most = e.settings.lines_most, s_.addresses_most = e.settings.addresses_most;
  group_map_ = std::make_shared<const GroupMap>(s_);
  attendance_ = Attendance{s_};
  views_.clear();
  dirty_ = true;
  note(Note::Weight::info, "retuned", {{"groups", std::to_string(s_.groups.size())}});
}

// A machine that refuses connections has no such process: a fact, which no bound on judgements need hold back.
// But a view in which over half of the fleet has gone is likelier wrong than the fleet, so it is not acted on.
void Coordinator::heed_absence(BackendId backend) {
  const auto row = rows_.find(backend);
  if (row != rows_.end() && row->second.listed && evidence_.absent(backend)) {
    absent_.insert(backend);
  } else {
    absent_.erase(backend);
  }
  touched_.insert(backend);
  const bool counts = absent_.size() * 2 <= listed_;
  if (counts == absence_counts_) return;
  absence_counts_ = counts;
  touched_.insert(absent_.begin(), absent_.end());
  note(Note::Weight::warning, counts ? "absence_heeded" : "absence_not_believed",
       {{"refusing", std::to_string(absent_.size())}, {"listed", std::to_string(listed_)}});
}

// Tells the module what changed between what it was last told of the list and what is known now.
void Coordinator::tell_list() {
  Listed listed{listed_once_ ? ListScope::changes : ListScope::whole, {}};
  touched_.insert(untold_.begin(), untold_.end());
  for (const auto id : std::exchange(touched_, {})) {
    Row& row = rows_.at(id);
    const bool back = row.told && row.told->availability == Availability::gone;  // told anew, as if unknown
    if (absence_counts_ && absent_.contains(id)) row.first_seen = now_;
    const bool known = evidence_.introduced(id) || now_ - row.first_seen >= s_.unserved * kIntroduction ||
                       (row.told.has_value() && !back);
    if (!known && (row.listed || !row.told)) {
      if (row.listed) untold_.insert(id);
      continue;
    }
    untold_.erase(id);
    Listed::Entry entry{id, row.entry.zone, row.entry.availability, row.entry.weight, {}};
    if (!row.listed || (absence_counts_ && absent_.contains(id))) {
      entry.availability = Availability::gone;
    } else if (evidence_.draining(id) && entry.availability == Availability::ready) {
      entry.availability = Availability::draining;
    }
    // A start matters while it is young; later it is long ago, and stays what was told.
    const auto started = evidence_.started(id);
    if (started && now_ - *started < s_.cold_for) entry.started = started;
    if (!entry.started && row.told) entry.started = row.told->started;
    if (row.told && row.told->zone == entry.zone && row.told->availability == entry.availability &&
        row.told->weight == entry.weight && row.told->started == entry.started)
      continue;
    if (!row.told && entry.availability == Availability::gone) continue;
    const bool worse = row.told && (entry.availability != Availability::ready || row.told->started != entry.started);
    if (worse) row.learned = now_;
    if (!row.told || row.told->availability != entry.availability || worse)
      note(Note::Weight::info, "backend",
           {{"backend", row.entry.name},
            {"state", name_of(entry.availability)},
            {"cold", entry.started && now_ - *entry.started < s_.cold_for ? "yes" : "no"}});
    row.told = entry;
    listed.entries.push_back(entry);
    dirty_ = restand_ = true;
  }
  if (listed.entries.empty()) return;
  listed_once_ = true;
  events_.insert(events_.begin(), std::move(listed));
}

// ---- What is ordered -----------------------------------------------------------------------------------

void Coordinator::apply(const std::vector<Order>& orders) {
  std::set<TableId> changed;
  counters_.orders += orders.size();
  for (const auto& order : orders) {
    if (const auto* line = std::get_if<SetLine>(&order)) {
      auto& lines = tables_[line->table].lines;
      if (line->weight > 0) {
        lines[line->backend] = line->weight;
      } else {
        lines.erase(line->backend);
      }
      changed.insert(line->table);
    } else if (const auto* level = std::get_if<SetLevel>(&order)) {
      auto& levels = tables_[level->table].levels;
      levels.resize(s_.operations.size());
      levels.at(level->operation.value) = {level->tries, level->level};
      changed.insert(level->table);
    } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
      if (!attendance_.present().contains(bind->proxy)) continue;
      bound_[bind->proxy] = bind->table;
      if (!versions_.contains(bind->table)) changed.insert(bind->table);
    } else if (const auto* wake = std::get_if<WakeMe>(&order)) {
      timers_.emplace(now_ + wake->after, wake->tag);
    }  // FollowList: the roster is always followed
  }
  for (const auto id : changed) {
    Table& table = tables_[id];
    table.id = id, table.version = ++table_version_, table.made = now_;
    versions_[id] = std::make_shared<const Table>(table);
  }
  for (const auto& [group, table] : bound_) channel_.want(group, versions_.at(table));
}

// ---- What is published ---------------------------------------------------------------------------------

// What stands in where a group has no table yet or none of its lines can be used: the warm backends that the
// list calls ready, as listed; if none is warm, the cold ones.
std::vector<Line> Coordinator::standing(OperationId operation) const {
  std::vector<Line> lines;
  for (const bool cold : {false, true}) {
    for (const auto& [id, row] : rows_)
      if (row.told && row.told->availability == Availability::ready && warm(row) != cold &&
          (row.entry.operations >> operation.value & 1U) != 0 && row.entry.weight > 0)
        lines.push_back({id, row.entry.weight});
    if (!lines.empty()) break;
  }
  return lines;
}

// The views in force, whole and immutable. Two guards stand here, whatever the tables say: a table does not
// speak for a backend that was since learned to drain, to be gone or to have started anew (rules 3 and 4);
// and no view is empty while a warm backend is listed ready (rule 1). Neither costs a line in the channel,
// since fronts read views.
void Coordinator::publish() {
  if (std::exchange(restand_, false) || (next_warm_ && now_ >= *next_warm_)) {
    std::vector<std::vector<Line>> stand;
    for (std::size_t k = 0; k < s_.operations.size(); ++k) stand.push_back(standing(op_at(k)));
    if (stand != standing_) standing_ = std::move(stand), dirty_ = true;
    next_warm_.reset();
    for (const auto& [id, row] : rows_)
      if (row.told && !warm(row))
        next_warm_ = std::min(next_warm_.value_or(Instant{} + Span::micros(INT64_MAX)), *row.told->started + s_.cold_for);
  }
  if (!dirty_) return;
  dirty_ = false;
  std::map<BackendId, Known> directory;
  for (const auto& [id, row] : rows_)
    directory.emplace(id, Known{row.entry.name, row.entry.at, row.entry.zone, row.counts(now_, s_.removal_binds)});
  if (directory != *directory_) directory_ = std::make_shared<const std::map<BackendId, Known>>(std::move(directory));

  auto next = std::make_shared<Published>();
  next->version = ++publish_version_;
  next->directory = directory_;
  next->lifetime = answer_lifetime(s_);
  std::map<std::pair<std::uint64_t, OperationId>, std::shared_ptr<const View>> views;
  const auto view = [&](const Table* table, std::size_t k) {
    const std::pair key{table == nullptr ? 0 : table->version, op_at(k)};
    auto& made = views[key];
    if (made) return made;
    View fresh{0, op_at(k), {}, {}};
    if (table != nullptr) {
      for (const auto& [id, weight] : table->lines) {
        const auto row = rows_.find(id);
        if (row == rows_.end() || (row->second.entry.operations >> k & 1U) == 0) continue;
        if (row->second.counts(table->made, s_.removal_binds)) {
          fresh.lines.push_back({id, weight});
        } else {
          ++counters_.cut_unasked;
        }
      }
      if (k < table->levels.size()) fresh.level = table->levels[k];
      if (fresh.lines.empty() && !standing_[k].empty()) ++counters_.stood_in;
    }
    if (fresh.lines.empty()) fresh.lines = standing_[k];
    // What did not change keeps its version, so that fronts need not work it out again.
    const auto was = views_.find(key);
    if (was != views_.end() && was->second->lines == fresh.lines && was->second->level == fresh.level)
      return made = was->second;
    fresh.version = ++view_version_;
    return made = std::make_shared<const View>(std::move(fresh));
  };
  next->views.resize(s_.groups.size());
  for (std::size_t g = 0; g < s_.groups.size(); ++g) {
    const auto held = channel_.in_force().find(ProxyId{static_cast<std::uint16_t>(g)});
    const Table* table = held == channel_.in_force().end() ? nullptr : held->second.get();
    for (std::size_t k = 0; k < s_.operations.size(); ++k) next->views[g].push_back(view(table, k));
  }
  views_ = std::move(views);
  out_.published = std::move(next);
}

Effects Coordinator::step(Instant now, const std::vector<Input>& inputs) {
  now_ = std::max(now_, now);
  out_ = {};
  events_.clear();
  ++counters_.steps;
  for (const auto& input : inputs) std::visit([this](const auto& e) { absorb(e); }, input);
  for (auto& event : attendance_.leave_idle(now_)) {
    const ProxyId group = std::get<ProxyLeft>(event).proxy;
    channel_.leave(group), bound_.erase(group);
    note(Note::Weight::info, "group_left", {{"group", s_.groups[group.value].name}});
    events_.push_back(std::move(event));
    dirty_ = true;
  }
  tell_list();
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    events_.emplace_back(TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  if (!round_at_ || now_ >= *round_at_) {
    round_at_ = now_ + s_.report_every;
    auto reports = evidence_.round(now_);
    attendance_.arrived(reports);
    for (auto& event : reports)
      if (const auto* d = std::get_if<DemandReport>(&event); d == nullptr || attendance_.present().contains(d->proxy))
        events_.push_back(std::move(event));
  }
  if (!events_.empty() && listed_once_) apply(decide_(now_, events_));

  const auto held_before = channel_.held_back();
  out_.messages = channel_.dispatch(now_);
  counters_.messages += out_.messages.size();
  if (channel_.held_back() != held_before)
    note(Note::Weight::warning, "channel_full",
         {{"waiting", fmt::format("{:.0f}", channel_.waiting(now_))},
          {"backlog", fmt::format("{:.0f}", s_.backlog)},
          {"held_back", std::to_string(channel_.held_back())}});
  if (channel_.arrive(now_) || !out_.messages.empty()) dirty_ = true;
  publish();

  out_.wake_at = *round_at_;
  if (!timers_.empty()) out_.wake_at = std::min(out_.wake_at, timers_.begin()->first);
  if (next_warm_) out_.wake_at = std::min(out_.wake_at, *next_warm_);
  if (const auto arrival = channel_.next_arrival()) out_.wake_at = std::min(out_.wake_at, *arrival);
  return std::move(out_);
}

}  // namespace gorsemount::coordinator

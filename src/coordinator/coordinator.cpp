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

// Report rounds from a taken-over forwarder's first whole table till further tries come back: one shows that
// what it does is heard here. Where a change was half sent, tries under the one before may still be under
// way, for about as long as a usual integration timeout: eight rounds.
constexpr double kCare = 1, kCareHalf = 8;
// And rounds for which a restarted coordinator leaves forwarders what it finds: the module judges a backend
// by two.
constexpr double kFound = 3;

constexpr double kOut = 1e-3;  // of a listed weight: next to nothing, and still a weight

constexpr std::size_t kHistory = 64;  // versions: at a few a second in trouble, the last quarter of a minute

const Span kForget = Span::seconds(600);  // above any client's caching that we heard of

OperationId op_at(std::size_t k) { return OperationId{static_cast<std::uint8_t>(k)}; }

const char* name_of(Availability a) {
  constexpr const char* names[] = {"ready", "draining", "gone"};
  return names[static_cast<std::size_t>(a)];
}

}  // namespace

gorsemount::Settings policy_settings(const Settings& s) {
  gorsemount::Settings m;
  for (const auto& op : s.operations)
    m.operations.push_back({op.effect, op.latency_objective, op.billed_value});
  m.admission_mode = s.levels ? AdmissionMode::share : AdmissionMode::off;
  m.report_every = s.report_every;
  m.max_report_rate = 1e9;  // report lines never wait here: evidence is summed up by the round
  m.backlog = s.backlog, m.push_rate = s.lines_per_second, m.per_message = s.per_message;
  m.messages_most = s.messages_most, m.messages_window = s.messages_window;
  // Every group may ask every coordinator, so each has them all.
  m.proxies = static_cast<double>(s.groups.size() + s.forwarders.size()) * s.coordinators,
  m.coordinators = s.coordinators;
  m.keepalive = s.keepalive;
  m.subscribe_timeout = s.unserved;
  m.drain_grace = s.drain_grace, m.removal_binds = s.removal_binds;
  m.cold_from = s.cold_from, m.cold_for = s.cold_for, m.tip_multiple = s.tip_multiple;
  return m;
}

DecisionMaker policy_decision_maker(const Settings& settings) {
  auto policy = std::make_shared<Policy>(policy_settings(settings), settings.seed);
  DecisionMaker decide{
      [policy](Instant now, const std::vector<Event>& events) { return policy->handle(now, events); }};
  decide.export_state = [policy](Instant now) { return policy->snapshot(now); };
  decide.import_state = [policy](Instant now, const PolicySnapshot& memory) { policy->restore(now, memory); };
  return decide;
}

Span answer_lifetime(const Settings& s) {
  const double room = std::floor((s.drain_grace - s.use_after).seconds() / 2);
  return Span::seconds(std::clamp(room, 0.0, std::floor(s.lifetime_most.seconds())));
}

namespace {

// The settings tell no cost; the latency objective is the only hint of it, as in the module.
std::vector<limits::PricedOperation> priced(const Settings& s) {
  std::vector<limits::PricedOperation> operations;
  for (std::size_t k = 0; k < s.operations.size(); ++k)
    operations.push_back(
        {op_at(k), s.operations[k].billed_value, s.operations[k].latency_objective.seconds()});
  return operations;
}

}  // namespace

Coordinator::Coordinator(Settings settings, DecisionMaker decide)
    : s_{std::move(settings)},
      decide_{std::move(decide)},
      group_map_{std::make_shared<const GroupMap>(s_)},
      evidence_{s_, [this](const Address& a) { return group_map_->group_of(a); }},
      limit_{s_.fleet_rate, priced(s_)},
      retries_{s_.retry_share, s_.retry_window},
      directory_{std::make_shared<const std::map<BackendId, DirectoryEntry>>()} {
  if (s_.spill) spill_.emplace(s_.zone_tiers);
}

void Coordinator::note(LogEvent::Severity weight, std::string event,
                       std::vector<std::pair<std::string, std::string>> fields) {
  out_.log_events.push_back({weight, std::move(event), std::move(fields)});
}

std::optional<BackendId> Coordinator::backend_id(const std::string& name) const {
  const auto it = ids_.find(name);
  return it == ids_.end() ? std::nullopt : std::optional{it->second};
}

Counters Coordinator::counters() const {
  Counters c = counters_;
  c.deferred_messages = channel_.held_back(), c.peak_backlog = channel_.most_waiting();
  return c;
}

bool Coordinator::warm(const Row& row) const {
  return row.told && (!row.told->started || now_ - *row.told->started >= s_.cold_for);
}

// ---- What comes in -------------------------------------------------------------------------------------

void Coordinator::absorb(const RosterUpdate& e) {
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
    if (fresh || !row->second.listed || !(row->second.entry == entry))
      touched_.insert(it->second), dirty_ = restand_ = true;
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

void Coordinator::absorb(const LoadReport& e) {
  const auto row = rows_.find(e.backend);
  if (row == rows_.end() || !row->second.listed) return;
  const SampleFault doubt = evidence_.load(now_, e.backend, e.requested_at, e.sample);
  unheard_.erase(e.backend);
  touched_.insert(e.backend);
  if (absent_.contains(e.backend)) heed_absence(e.backend);
  counters_.rejected_samples += doubt == SampleFault::none ? 0 : 1;
  SampleFault& last = doubts_[e.backend];
  if (doubt != last)
    note(doubt == SampleFault::none ? LogEvent::Severity::info : LogEvent::Severity::warning, "load_doubted",
         {{"backend", row->second.entry.name}, {"doubt", coordinator::name_of(doubt)}});
  last = doubt;
}

void Coordinator::absorb(const LoadPollFailed& e) {
  const auto row = rows_.find(e.backend);
  if (row == rows_.end() || !unheard_.insert(e.backend).second) return;
  note(LogEvent::Severity::warning, "load_missing", {{"backend", row->second.entry.name}, {"why", e.reason}});
}

void Coordinator::absorb(const HealthCheckResult& e) {
  const auto row = rows_.find(e.backend);
  if (row == rows_.end() || !row->second.listed) return;
  const bool was = evidence_.absent(e.backend);
  evidence_.health(e.backend, e.health, e.latency);
  if (evidence_.absent(e.backend) != was) heed_absence(e.backend);
}

void Coordinator::absorb(const GroupLookup& e) {
  if (e.group.value >= s_.groups.size()) return;
  group_seen_[e.group] = now_;
  if (led_elsewhere_.contains(e.group)) return;  // whoever leads it hears of it
  for (auto& event : attendance_.looked_up(now_, e.group)) {
    channel_.join(e.group);
    note(LogEvent::Severity::info, "group_joined", {{"group", s_.groups[e.group.value].name}});
    events_.push_back(std::move(event));
  }
}

void Coordinator::absorb(const SettingsReloaded& e) {
  std::vector<ProxyId> groups;
  for (const auto& [proxy, seen] : attendance_.present())
    if (!is_forwarder(proxy)) groups.push_back(proxy);
  for (const auto group : groups) {
    for (auto& event : attendance_.left(group)) events_.push_back(std::move(event));
    channel_.leave(group), bound_.erase(group);
  }
  s_.groups = e.settings.groups, s_.trusted_resolvers = e.settings.trusted_resolvers;
  s_.lifetime_most = e.settings.lifetime_most, s_.group_idle = e.settings.group_idle;
  s_.lines_most = e.settings.lines_most, s_.addresses_most = e.settings.addresses_most;
  group_map_ = std::make_shared<const GroupMap>(s_);
  views_.clear();
  dirty_ = true;
  note(LogEvent::Severity::info, "retuned", {{"groups", std::to_string(s_.groups.size())}});
}

void Coordinator::absorb(const ForwarderJoined& e) {
  for (auto& event : attendance_.joined(now_, e.forwarder)) {
    channel_.join(e.forwarder), limit_.add_forwarder(e.forwarder), retries_.add_forwarder(e.forwarder),
        holds_[e.forwarder] = 0;
    if (own_memory_ && !e.current_weights.empty())
      found_[e.forwarder] = {e.current_weights, now_ + s_.report_every * kFound};
    if (e.taken_over) {
      const auto half = half_sent_.find(e.forwarder);
      care_[e.forwarder] = {half != half_sent_.end() && half->second, {}};
    }
    note(LogEvent::Severity::info, "forwarder_joined", {{"forwarder", proxy_name(e.forwarder)}});
    events_.push_back(std::move(event));
  }
}

void Coordinator::absorb(const ForwarderLeft& e) {
  for (auto& event : attendance_.left(e.forwarder)) {
    channel_.leave(e.forwarder), limit_.remove_forwarder(e.forwarder), retries_.remove_forwarder(e.forwarder);
    bound_.erase(e.forwarder), holds_.erase(e.forwarder), sent_.erase(e.forwarder), care_.erase(e.forwarder);
    found_.erase(e.forwarder);
    note(LogEvent::Severity::info, "forwarder_left", {{"forwarder", proxy_name(e.forwarder)}});
    events_.push_back(std::move(event));
  }
}

void Coordinator::absorb(const ForwarderReport& e) {
  if (!attendance_.present().contains(e.forwarder)) return;
  if (!evidence_.met(e, s_.forwarders[e.forwarder.value - kFirstForwarderId].zone)) {
    ++counters_.rejected_samples;
    note(LogEvent::Severity::warning, "report_doubted", {{"forwarder", proxy_name(e.forwarder)}});
    return;
  }
  int tries = 0;
  for (const auto& row : e.rows) tries += row.tries;
  retries_.record_tries(now_, e.forwarder, tries - e.further, e.further);
  for (const auto& [operation, n] : e.arrived)
    limit_.record_arrivals(e.forwarder, operation, n, s_.report_every);
}

void Coordinator::absorb(const ForwarderAppliedTable& e) {
  if (const auto it = holds_.find(e.forwarder); it != holds_.end()) it->second = e.version;
  if (const auto care = care_.find(e.forwarder); care != care_.end() && !care->second.until)
    care->second.until = now_ + s_.report_every * (care->second.half ? kCareHalf : kCare);
}

// Why a person's order can't be followed; empty if it can. No order may leave an operation without a worker.
std::string Coordinator::refusal(const OperatorCommand& e) const {
  using Action = OperatorCommand::Action;
  if (e.action == Action::hold || e.action == Action::release) return "";
  const bool zone = e.action == Action::drain_zone || e.action == Action::undrain_zone;
  if (zone && std::find(s_.zones.begin(), s_.zones.end(), e.name) == s_.zones.end())
    return fmt::format("no zone is called '{}'; known: {}", e.name, fmt::join(s_.zones, ", "));
  if (!zone && !ids_.contains(e.name)) return fmt::format("no backend is called '{}'", e.name);
  if (e.action == Action::set_weight && !(e.weight > 0 && e.weight <= 1e6))
    return "a weight is above 0 and at most 1e6";
  if (e.action != Action::drain_zone && e.action != Action::disable) return "";
  for (std::size_t k = 0; k < s_.operations.size(); ++k) {
    bool left = false;
    for (const auto& [id, row] : rows_) {
      const std::string& in = s_.zones[row.entry.zone.value];
      if (!row.told || row.told->availability != Availability::ready || (row.entry.operations >> k & 1U) == 0)
        continue;
      if (persons_.out(row.entry.name) || persons_.drained(in)) continue;
      left = left || (zone ? in != e.name : row.entry.name != e.name);
    }
    if (!left) return fmt::format("refused: it would leave no ready backend for '{}'", s_.operations[k].name);
  }
  if (zone && e.action == Action::drain_zone && !e.force && spill_) {
    const auto z =
        static_cast<std::size_t>(std::find(s_.zones.begin(), s_.zones.end(), e.name) - s_.zones.begin());
    if (!spill_->has_capacity_without(z))
      return fmt::format(
          "refused: the other zones have not shown room for what comes now; 'drain zone {} anyway' does it "
          "all the same",
          e.name);
  }
  return "";
}

void Coordinator::absorb(const OperatorCommand& e) {
  using Action = OperatorCommand::Action;
  out_.command_results.push_back(refusal(e));
  constexpr const char* names[] = {"set_weight", "drain_zone", "undrain_zone", "disable",
                                   "enable",     "hold",       "release"};
  note(LogEvent::Severity::info, "person_ordered",
       {{"order", names[static_cast<std::size_t>(e.action)]},
        {"name", e.name},
        {"refused", out_.command_results.back()}});
  if (!out_.command_results.back().empty()) return;
  switch (e.action) {
    case Action::set_weight:
      persons_.set_weight(now_, e.name, e.weight, e.lifetime);
      break;
    case Action::drain_zone:
      persons_.drain(now_, e.name);
      break;
    case Action::undrain_zone:
      persons_.undrain(now_, e.name);
      break;
    case Action::disable:
      persons_.disable(now_, e.name);
      break;
    case Action::enable:
      persons_.enable(now_, e.name);
      break;
    case Action::hold:
      hold_ = true, hold_ordered_ = now_;
      break;
    case Action::release:
      hold_ = false, hold_ordered_ = now_;
      break;
  }
  for (const auto& [id, row] : rows_) touched_.insert(id);
  person_next_ = persons_.next_change(now_);
}

std::string Coordinator::proxy_name(ProxyId proxy) const {
  return is_forwarder(proxy) ? s_.forwarders[proxy.value - kFirstForwarderId].name
                             : s_.groups[proxy.value].name;
}

// A machine that refuses connections has no such process: a fact, which no bound on judgements need hold
// back. But a view in which over half of the fleet has gone is likelier wrong than the fleet, so it is not
// acted on.
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
  note(LogEvent::Severity::warning, counts ? "absence_heeded" : "absence_not_believed",
       {{"refusing", std::to_string(absent_.size())}, {"listed", std::to_string(listed_)}});
}

// Gets less than its listed weight by what itself or a person says, not by what it was seen to do.
bool Coordinator::lowered(const Row& row) const {
  if (row.told->availability == Availability::draining) return true;
  return persons_.any() && persons_.of(row.entry.name, s_.zones[row.entry.zone.value], now_).share < 1;
}

// Tells the module what changed between what it was last told of the list and what is known now.
void Coordinator::tell_list() {
  BackendListUpdate listed{listed_once_ ? ListScope::delta : ListScope::full, {}};
  touched_.insert(untold_.begin(), untold_.end());
  if (person_next_ && now_ >= *person_next_) {
    for (const auto& [id, row] : rows_) touched_.insert(id);
    person_next_ = persons_.next_change(now_);
  }
  PolicySnapshot memory;
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
    recall_backend(id, row, memory);
    const auto past = past_.find(row.entry.name);
    BackendListUpdate::Entry entry{id, row.entry.zone, row.entry.availability, row.entry.weight, {}};
    if (!row.listed || (absence_counts_ && absent_.contains(id))) {
      entry.availability = Availability::gone;
    } else if (entry.availability == Availability::ready &&
               (evidence_.draining(id) || (past != past_.end() && past->second.drain))) {
      entry.availability = Availability::draining;
    }
    if (persons_.any()) {
      const auto say = persons_.of(row.entry.name, s_.zones[row.entry.zone.value], now_);
      entry.weight = say.weight.value_or(entry.weight) * (say.share > 0 ? say.share : 1);
      if (say.out && entry.availability == Availability::ready) entry.availability = Availability::draining;
    }
    // What drains is no capacity: the module reckons what the fleet can carry by listed weights, those of
    // draining backends among them, and with a whole zone of them would let in what nobody can take.
    if (entry.availability == Availability::draining) entry.weight *= kOut;
    // A start matters while it is young; later it is long ago, and stays what was told.
    auto started = evidence_.started(id);
    if (!started && past != past_.end() && past->second.cold)
      started = past->second.cold->times.at("started");
    if (started && now_ - *started < s_.cold_for) entry.started = started;
    if (!entry.started && row.told) entry.started = row.told->started;
    if (row.told && row.told->zone == entry.zone && row.told->availability == entry.availability &&
        row.told->weight == entry.weight && row.told->started == entry.started)
      continue;
    if (!row.told && entry.availability == Availability::gone) continue;
    const bool worse =
        row.told && (entry.availability != Availability::ready || row.told->started != entry.started);
    if (worse) row.learned = now_;
    if (!row.told || row.told->availability != entry.availability || worse)
      note(LogEvent::Severity::info, "backend",
           {{"backend", row.entry.name},
            {"state", name_of(entry.availability)},
            {"cold", entry.started && now_ - *entry.started < s_.cold_for ? "yes" : "no"}});
    row.told = entry;
    listed.entries.push_back(entry);
    dirty_ = restand_ = true;
    ++guards_;
  }
  // Before the module hears of them: a backend that was out must not get a full line first.
  if (!memory.backends.empty() && decide_.import_state) decide_.import_state(now_, memory);
  if (listed.entries.empty()) return;
  listed_once_ = true;
  events_.insert(events_.begin(), std::move(listed));
}

// ---- What is ordered -----------------------------------------------------------------------------------

void Coordinator::apply(const std::vector<Order>& orders) {
  std::set<TableId> changed;
  counters_.orders += orders.size();
  for (const auto& order : orders) {
    if (const auto* line = std::get_if<SetWeight>(&order)) {
      auto& lines = tables_[line->table].lines;
      if (line->weight > 0) {
        lines[line->backend] = line->weight;
      } else {
        lines.erase(line->backend);
      }
      changed.insert(line->table);
    } else if (const auto* level = std::get_if<SetAdmission>(&order)) {
      auto& levels = tables_[level->table].levels;
      levels.resize(s_.operations.size());
      levels.at(level->operation.value) = {level->retries, level->limit};
      changed.insert(level->table);
    } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
      if (!attendance_.present().contains(bind->proxy)) continue;
      bound_[bind->proxy] = bind->table;
      if (!versions_.contains(bind->table)) {
        tables_[bind->table].id = bind->table;
        versions_[bind->table] = std::make_shared<const Table>(tables_[bind->table]);
        changed.insert(bind->table);
      }
    } else if (const auto* wake = std::get_if<SetTimer>(&order)) {
      timers_.emplace(now_ + wake->after, wake->tag);
    }  // SubscribeToList: the roster is always followed
  }
  frozen_.insert(changed.begin(), changed.end());
  if (hold_) return;
  for (const auto id : std::exchange(frozen_, {})) {
    Table& table = tables_[id];
    table.id = id, table.version = ++table_version_, table.made = now_;
    versions_[id] = std::make_shared<const Table>(table);
    history_.push_back(versions_[id]);
    if (history_.size() > kHistory) history_.pop_front();
  }
}

// What each is to hold. While a person holds the decisions, tables stay as they are but for what rules force.
void Coordinator::want_tables() {
  for (const auto& [proxy, table] : bound_) {
    const TablePtr& newest = versions_.at(table);
    const ZoneId zone = is_forwarder(proxy) ? s_.forwarders[proxy.value - kFirstForwarderId].zone
                                            : s_.groups[proxy.value].zone;
    channel_.want(proxy, spilled(is_forwarder(proxy) ? guarded(newest) : newest, zone));
  }
}

// A table as a forwarder is to hold it: what publish() leaves out or lets stand in for readers of views is
// already left out and in here.
TablePtr Coordinator::guarded(TablePtr table) {
  auto& [key, made] = guarded_[table->id];
  if (made && key == std::pair{table->version, guards_}) return made;
  key = {table->version, guards_};
  Table fresh = *table;
  std::erase_if(fresh.lines, [&](const auto& line) {
    const auto row = rows_.find(line.first);
    return row == rows_.end() || !row->second.counts(table->made, s_.removal_binds);
  });
  fresh.urgent = fresh.lines.size() < table->lines.size();
  if (made)
    for (const auto& [id, weight] : made->lines) {
      const auto row = rows_.find(id);
      fresh.urgent = fresh.urgent || (!fresh.lines.contains(id) &&
                                      (row == rows_.end() || !row->second.counts(now_, s_.removal_binds)));
    }
  if (fresh.lines.empty())
    for (const auto& [id, row] : rows_)
      if (row.told && row.told->availability == Availability::ready && warm(row))
        fresh.lines[id] = row.entry.weight;
  if (made && made->lines == fresh.lines && made->levels == fresh.levels) return made;
  fresh.version = ++table_version_;
  return made = std::make_shared<const Table>(std::move(fresh));
}

std::shared_ptr<const DesiredTable> Coordinator::wanted_table(ProxyId forwarder, const Table& table) {
  auto wanted = std::make_shared<DesiredTable>();
  wanted->version = table.version;
  const auto lines = lines_for(forwarder, table);
  for (std::size_t k = 0; k < s_.operations.size(); ++k) {
    DesiredTable::Operation part{s_.operations[k].name, {}, {}, -1};
    for (const auto& [id, weight] : lines) {
      const auto row = rows_.find(id);
      // Between the channel and here a guard may have come to know better.
      if (row == rows_.end() || (row->second.entry.operations >> k & 1U) == 0) continue;
      if (row->second.told && !row->second.counts(now_, s_.removal_binds)) continue;
      part.lines.push_back({id, row->second.entry.name, row->second.entry.at, weight, !warm(row->second)});
    }
    if (k < table.levels.size()) part.level = table.levels[k];
    part.level.tries = limits::allowed_retries(s_.operations[k].effect, part.level.tries);
    // Between two that lead it nobody can tell what is still being tried: no further tries till that is over.
    if (care_.contains(forwarder)) part.level.tries = RetryPolicy::none;
    if (const auto it = parts_.find({forwarder, op_at(k)}); it != parts_.end()) part.rate_limit = it->second;
    wanted->operations.push_back(std::move(part));
  }
  if (s_.retry_share > 0) {
    const auto part = retries_.allocations().find(forwarder);
    wanted->retry_ratio = part == retries_.allocations().end() ? s_.retry_share : part->second;
  }
  for (const auto& [id, row] : rows_)
    if (row.listed) wanted->known_backends.push_back(row.entry.name);
  return wanted;
}

// The fleet's limit, dealt anew after each round; who is to be told goes with the next delivery.
void Coordinator::share_limits() {
  auto fresh = limit_.allocations();
  std::set<ProxyId> moved;
  const auto differs = [](double a, double b) {
    return std::abs(a - b) > 0.1 * std::max(a, b);
  };  // worth a message
  for (const auto& [key, part] : fresh)
    if (const auto it = parts_.find(key); it == parts_.end() || differs(part, it->second))
      moved.insert(key.first);
  for (const auto& [key, part] : parts_)
    if (!fresh.contains(key)) moved.insert(key.first);
  if (moved.empty()) return;
  for (const auto proxy : moved) {
    std::erase_if(parts_, [&](const auto& row) { return row.first.first == proxy; });
    for (const auto& [key, part] : fresh)
      if (key.first == proxy) parts_[key] = part;
    const auto held = channel_.in_force().find(proxy);
    if (held != channel_.in_force().end() && held->second)
      out_.deliveries.push_back({proxy, wanted_table(proxy, *held->second)});
  }
}

// The budget of further tries, dealt anew after each round.
void Coordinator::deal_retries() {
  // Every delivery carries the part of its moment, so what stood before the deal is what was told, a recalled
  // part too.
  const auto before = retries_.allocations();
  for (const auto& [proxy, part] : retries_.allocate(now_)) {
    const auto was = before.find(proxy);
    if (part == (was == before.end() ? s_.retry_share : was->second)) continue;
    const auto held = channel_.in_force().find(proxy);
    if (held != channel_.in_force().end() && held->second)
      out_.deliveries.push_back({proxy, wanted_table(proxy, *held->second)});
  }
}

std::vector<Coordinator::BackendState> Coordinator::backends() const {
  std::vector<BackendState> all;
  for (const auto& [id, row] : rows_) {
    BackendState b;
    b.name = row.entry.name, b.zone = s_.zones[row.entry.zone.value], b.at = row.entry.at;
    b.state = row.told ? name_of(row.told->availability) : "unknown";
    b.listed_weight = row.told ? row.told->weight : row.entry.weight;
    for (const auto& [table, version] : versions_)
      if (const auto line = version->lines.find(id); line != version->lines.end())
        b.weight = std::max(b.weight, line->second);
    b.cold = row.told && !warm(row), b.refuses_connections = absent_.contains(id);
    const auto say = persons_.of(b.name, b.zone, now_);
    b.operator_override = !(say == OperatorOverrides::Say{});
    if (const auto doubt = doubts_.find(id); doubt != doubts_.end())
      b.sample_fault = coordinator::name_of(doubt->second);
    all.push_back(std::move(b));
  }
  return all;
}

TablePtr Coordinator::table_version(std::uint64_t version) const {
  for (const auto& table : history_)
    if (table->version == version) return table;
  return {};
}

std::vector<Coordinator::ProxyState> Coordinator::proxies() const {
  std::vector<ProxyState> all;
  for (const auto& [proxy, seen] : attendance_.present()) {
    ProxyState p;
    p.name = proxy_name(proxy), p.id = proxy, p.rate = attendance_.usual_rate(proxy);
    if (const auto bound = bound_.find(proxy); bound != bound_.end()) p.table = bound->second;
    if (const auto held = channel_.in_force().find(proxy); held != channel_.in_force().end() && held->second)
      p.ordered_version = held->second->version;
    const auto holds = holds_.find(proxy);
    p.applied_version = holds == holds_.end() ? p.ordered_version : holds->second;
    all.push_back(std::move(p));
  }
  return all;
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
        next_warm_ = std::min(next_warm_.value_or(Instant{} + Span::micros(INT64_MAX)),
                              *row.told->started + s_.cold_for);
  }
  if (!dirty_) return;
  dirty_ = false;
  std::map<BackendId, DirectoryEntry> directory;
  for (const auto& [id, row] : rows_)
    directory.emplace(
        id, DirectoryEntry{row.entry.name, row.entry.at, row.entry.zone, row.counts(now_, s_.removal_binds)});
  if (directory != *directory_)
    directory_ = std::make_shared<const std::map<BackendId, DirectoryEntry>>(std::move(directory));

  auto next = std::make_shared<PublishedState>();
  next->version = ++publish_version_;
  next->directory = directory_;
  next->lifetime = answer_lifetime(s_);
  std::map<std::pair<std::uint64_t, OperationId>, std::shared_ptr<const RoutingView>> views;
  const auto view = [&](const Table* table, std::size_t k) {
    const std::pair key{table == nullptr ? 0 : table->version, op_at(k)};
    auto& made = views[key];
    if (made) return made;
    RoutingView fresh{0, op_at(k), {}, {}};
    if (table != nullptr) {
      for (const auto& [id, weight] : table->lines) {
        const auto row = rows_.find(id);
        if (row == rows_.end() || (row->second.entry.operations >> k & 1U) == 0) continue;
        if (row->second.counts(table->made, s_.removal_binds)) {
          const std::size_t zone = row->second.entry.zone.value;
          fresh.lines.push_back({id, weight, zone < table->tiers.size() ? table->tiers[zone] : 0});
        } else {
          ++counters_.filtered_lines;
        }
      }
      if (k < table->levels.size()) fresh.level = table->levels[k];
      if (fresh.lines.empty() && !standing_[k].empty()) ++counters_.fallback_views;
    }
    if (fresh.lines.empty()) fresh.lines = standing_[k];
    // Whoever may turn from tier to tier has to have a first one.
    if (std::none_of(fresh.lines.begin(), fresh.lines.end(), [](const Line& l) { return l.tier == 0; }))
      for (auto& l : fresh.lines) l.tier = 0;
    // What did not change keeps its version, so that fronts need not work it out again.
    const auto was = views_.find(key);
    if (was != views_.end() && was->second->lines == fresh.lines && was->second->level == fresh.level)
      return made = was->second;
    fresh.version = ++view_version_;
    return made = std::make_shared<const RoutingView>(std::move(fresh));
  };
  next->views.resize(s_.groups.size());
  for (std::size_t g = 0; g < s_.groups.size(); ++g) {
    const TablePtr held = table_of_group(ProxyId{static_cast<std::uint16_t>(g)});
    const Table* table = held.get();
    for (std::size_t k = 0; k < s_.operations.size(); ++k) next->views[g].push_back(view(table, k));
  }
  views_ = std::move(views);
  out_.published = std::move(next);
}

Effects Coordinator::step(Instant now, const std::vector<Input>& inputs) {
  now_ = std::max(now_, now);
  out_ = {};
  // Who joined before the first list was told waits for it: nobody would say it again.
  if (listed_once_) events_.clear();
  std::erase_if(events_, [](const Event& e) {
    return !std::holds_alternative<ProxyJoined>(e) && !std::holds_alternative<ProxyLeft>(e);
  });
  ++counters_.steps;
  for (const auto& input : inputs) std::visit([this](const auto& e) { absorb(e); }, input);
  for (auto& event : attendance_.leave_idle(now_)) {
    const ProxyId group = std::get<ProxyLeft>(event).proxy;
    channel_.leave(group), bound_.erase(group);
    note(LogEvent::Severity::info, "group_left", {{"group", s_.groups[group.value].name}});
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
    if (s_.fleet_rate > 0) share_limits();
    if (s_.retry_share > 0) deal_retries();
    if (spill_) decide_spill(reports);
    // Nor are its processors, or those of what a person has lowered, idle ones that the fleet could use.
    for (auto& event : reports)
      if (auto* r = std::get_if<BackendReport>(&event); r != nullptr && r->utilization)
        if (const auto row = rows_.find(r->backend);
            row != rows_.end() && row->second.told && lowered(row->second))
          r->utilization.reset();
    for (auto& event : reports)
      if (const auto* d = std::get_if<DemandReport>(&event);
          d == nullptr || attendance_.present().contains(d->proxy))
        events_.push_back(std::move(event));
  }
  if (!events_.empty() && listed_once_) apply(decide_.handle(now_, std::exchange(events_, {})));
  end_care();

  if (!hold_ && !frozen_.empty()) apply({});
  want_tables();
  const auto held_before = channel_.held_back();
  out_.messages = channel_.dispatch(now_);
  counters_.messages += out_.messages.size();
  if (channel_.held_back() != held_before)
    note(LogEvent::Severity::warning, "channel_full",
         {{"waiting", fmt::format("{:.0f}", channel_.waiting(now_))},
          {"backlog", fmt::format("{:.0f}", s_.backlog)},
          {"held_back", std::to_string(channel_.held_back())}});
  const auto arrived = channel_.arrive(now_);
  if (!arrived.empty() || !out_.messages.empty()) dirty_ = true;
  for (const auto proxy : std::set<ProxyId>{arrived.begin(), arrived.end()})
    if (is_forwarder(proxy)) {
      const TablePtr& table = channel_.in_force().at(proxy);
      sent_[proxy] = table->version;
      out_.deliveries.push_back({proxy, wanted_table(proxy, *table)});
    }
  publish();

  out_.next_wakeup = *round_at_;
  if (!timers_.empty()) out_.next_wakeup = std::min(out_.next_wakeup, timers_.begin()->first);
  if (person_next_) out_.next_wakeup = std::min(out_.next_wakeup, *person_next_);
  if (next_warm_) out_.next_wakeup = std::min(out_.next_wakeup, *next_warm_);
  for (const auto& [proxy, care] : care_)
    if (care.until) out_.next_wakeup = std::min(out_.next_wakeup, *care.until);
  for (const auto& [proxy, found] : found_) out_.next_wakeup = std::min(out_.next_wakeup, found.until);
  if (const auto arrival = channel_.next_arrival()) out_.next_wakeup = std::min(out_.next_wakeup, *arrival);
  return std::move(out_);
}

}  // namespace gorsemount::coordinator

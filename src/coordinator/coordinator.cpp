#include "coordinator/coordinator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace gorsemount::coordinator {

namespace {

// A ready backend is passed to the policy once it has reported when it started, or after this share of the
// longest time that a proxy may be without a backend: with an unknown start a cold backend would count as
// warm.
constexpr double kIntroductionShare = 0.4;

// Report rounds from the first confirmed table of a taken-over forwarder until retries are enabled again. One
// round shows that its reports arrive here. If its table may have been changed only in part, tries under the
// former one may still be running, for about the usual integration timeout: eight rounds.
constexpr double kTakeoverRounds = 1, kPartialTakeoverRounds = 8;
// Report rounds for which a restarted coordinator leaves forwarders the weights it found: the policy needs
// two rounds to judge a backend.
constexpr double kFoundLinesRounds = 3;

constexpr double kDrainedWeightFactor = 1e-3;  // of the listed weight: close to 0, but still a valid weight

constexpr std::size_t kTableHistorySize = 64;  // table versions; about 15 s at a few versions a second

const Span kForgetAfter = Span::seconds(600);  // longer than clients cache answers

OperationId operation_at(std::size_t k) { return OperationId{static_cast<std::uint8_t>(k)}; }

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
  m.max_report_rate = 1e9;  // no limit: reports are aggregated by round and never queue here
  m.backlog = s.backlog, m.push_rate = s.lines_per_second, m.per_message = s.per_message;
  m.messages_most = s.messages_most, m.messages_window = s.messages_window;
  // Each group may use any coordinator, so each coordinator serves all of them.
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

// There is no setting for an operation's cost; the latency objective stands in for it, as in the policy.
std::vector<limits::PricedOperation> priced(const Settings& s) {
  std::vector<limits::PricedOperation> operations;
  for (std::size_t k = 0; k < s.operations.size(); ++k)
    operations.push_back(
        {operation_at(k), s.operations[k].billed_value, s.operations[k].latency_objective.seconds()});
  return operations;
}

}  // namespace

Coordinator::Coordinator(Settings settings, DecisionMaker decide)
    : settings_{std::move(settings)},
      decision_maker_{std::move(decide)},
      group_map_{std::make_shared<const GroupMap>(settings_)},
      report_aggregator_{settings_, [this](const Address& a) { return group_map_->group_of(a); }},
      fleet_limit_{settings_.fleet_rate, priced(settings_)},
      retry_budget_{settings_.retry_share, settings_.retry_window},
      directory_{std::make_shared<const std::map<BackendId, DirectoryEntry>>()} {
  if (settings_.spill) spill_.emplace(settings_.zone_tiers);
}

void Coordinator::log_event(LogEvent::Severity severity, std::string event,
                            std::vector<std::pair<std::string, std::string>> fields) {
  effects_.log_events.push_back({severity, std::move(event), std::move(fields)});
}

std::optional<BackendId> Coordinator::backend_id(const std::string& name) const {
  const auto it = backend_ids_.find(name);
  return it == backend_ids_.end() ? std::nullopt : std::optional{it->second};
}

Counters Coordinator::counters() const {
  Counters c = counters_;
  c.deferred_messages = channel_.deferred_messages(), c.peak_backlog = channel_.peak_backlog();
  return c;
}

bool Coordinator::warm(const BackendRecord& record) const {
  return record.announced &&
         (!record.announced->started || now_ - *record.announced->started >= settings_.cold_for);
}

// ---- Inputs --------------------------------------------------------------------------------------------

void Coordinator::absorb(const RosterUpdate& input) {
  std::set<BackendId> delisted;
  for (const auto& [id, record] : backends_)
    if (record.listed) delisted.insert(id);
  for (const auto& entry : input.entries) {
    const auto [it, inserted] = backend_ids_.try_emplace(entry.name, BackendId{next_id_});
    next_id_ += inserted ? 1 : 0;
    delisted.erase(it->second);
    auto [record, fresh] = backends_.try_emplace(it->second, BackendRecord{entry, now_, true, {}, {}});
    if (!fresh && !(record->second.entry.at == entry.at && record->second.listed)) {
      // Another address means another process: drop what was known of the former one.
      report_aggregator_.forget(it->second);
      record->second.first_seen = now_;
      record->second.invalidated_at = now_;
    }
    if (fresh || !record->second.listed || !(record->second.entry == entry))
      changed_backends_.insert(it->second), publish_needed_ = fallback_stale_ = true;
    if (!record->second.announced) unannounced_.insert(it->second);
    record->second.entry = entry, record->second.listed = true;
  }
  roster_size_ = input.entries.size();
  for (const auto id : delisted) backends_.at(id).listed = false, changed_backends_.insert(id);
  for (const auto id : std::set<BackendId>{refusing_}) update_refusing(id);
  prune_backends();
}

// Drops backends that were delisted long ago, so that memory stays bounded when names keep changing.
void Coordinator::prune_backends() {
  for (auto it = backends_.begin(); it != backends_.end();) {
    const auto& [id, record] = *it;
    if (record.listed || now_ - record.invalidated_at < kForgetAfter) {
      ++it;
      continue;
    }
    backend_ids_.erase(record.entry.name), sample_faults_.erase(id), load_missing_.erase(id),
        unannounced_.erase(id), changed_backends_.erase(id);
    report_aggregator_.forget(id);
    it = backends_.erase(it);
    publish_needed_ = fallback_stale_ = true;
  }
}

void Coordinator::absorb(const LoadReport& input) {
  const auto record = backends_.find(input.backend);
  if (record == backends_.end() || !record->second.listed) return;
  const SampleFault fault =
      report_aggregator_.add_load(now_, input.backend, input.requested_at, input.sample);
  load_missing_.erase(input.backend);
  changed_backends_.insert(input.backend);
  if (refusing_.contains(input.backend)) update_refusing(input.backend);
  counters_.rejected_samples += fault == SampleFault::none ? 0 : 1;
  SampleFault& last = sample_faults_[input.backend];
  if (fault != last)
    log_event(fault == SampleFault::none ? LogEvent::Severity::info : LogEvent::Severity::warning,
              "load_doubted",
              {{"backend", record->second.entry.name}, {"doubt", coordinator::name_of(fault)}});
  last = fault;
}

void Coordinator::absorb(const LoadPollFailed& input) {
  const auto record = backends_.find(input.backend);
  if (record == backends_.end() || !load_missing_.insert(input.backend).second) return;
  log_event(LogEvent::Severity::warning, "load_missing",
            {{"backend", record->second.entry.name}, {"why", input.reason}});
}

void Coordinator::absorb(const HealthCheckResult& input) {
  const auto record = backends_.find(input.backend);
  if (record == backends_.end() || !record->second.listed) return;
  const bool previous = report_aggregator_.refuses_connections(input.backend);
  report_aggregator_.add_health_check(input.backend, input.health, input.latency);
  if (report_aggregator_.refuses_connections(input.backend) != previous) update_refusing(input.backend);
}

void Coordinator::absorb(const GroupLookup& input) {
  if (input.group.value >= settings_.groups.size()) return;
  last_lookups_[input.group] = now_;
  if (remotely_led_.contains(input.group)) return;  // its leader gets the lookup
  for (auto& event : proxy_presence_.on_lookup(now_, input.group)) {
    channel_.join(input.group);
    log_event(LogEvent::Severity::info, "group_joined",
              {{"group", settings_.groups[input.group.value].name}});
    events_.push_back(std::move(event));
  }
}

void Coordinator::absorb(const SettingsReloaded& input) {
  std::vector<ProxyId> groups;
  for (const auto& [proxy, seen] : proxy_presence_.present())
    if (!is_forwarder(proxy)) groups.push_back(proxy);
  for (const auto group : groups) {
    for (auto& event : proxy_presence_.on_left(group)) events_.push_back(std::move(event));
    channel_.leave(group), bound_tables_.erase(group);
  }
  settings_.groups = input.settings.groups, settings_.trusted_resolvers = input.settings.trusted_resolvers;
  settings_.lifetime_most = input.settings.lifetime_most, settings_.group_idle = input.settings.group_idle;
  settings_.lines_most = input.settings.lines_most, settings_.addresses_most = input.settings.addresses_most;
  group_map_ = std::make_shared<const GroupMap>(settings_);
  views_.clear();
  publish_needed_ = true;
  log_event(LogEvent::Severity::info, "retuned", {{"groups", std::to_string(settings_.groups.size())}});
}

void Coordinator::absorb(const ForwarderJoined& input) {
  for (auto& event : proxy_presence_.on_forwarder_joined(now_, input.forwarder)) {
    channel_.join(input.forwarder), fleet_limit_.add_forwarder(input.forwarder),
        retry_budget_.add_forwarder(input.forwarder), applied_versions_[input.forwarder] = 0;
    if (restored_own_state_ && !input.current_weights.empty())
      found_lines_[input.forwarder] = {input.current_weights,
                                       now_ + settings_.report_every * kFoundLinesRounds};
    if (input.taken_over) {
      const auto partially_sent = partially_sent_.find(input.forwarder);
      takeovers_[input.forwarder] = {partially_sent != partially_sent_.end() && partially_sent->second, {}};
    }
    log_event(LogEvent::Severity::info, "forwarder_joined", {{"forwarder", proxy_name(input.forwarder)}});
    events_.push_back(std::move(event));
  }
}

void Coordinator::absorb(const ForwarderLeft& input) {
  for (auto& event : proxy_presence_.on_left(input.forwarder)) {
    channel_.leave(input.forwarder), fleet_limit_.remove_forwarder(input.forwarder),
        retry_budget_.remove_forwarder(input.forwarder);
    bound_tables_.erase(input.forwarder), applied_versions_.erase(input.forwarder),
        delivered_versions_.erase(input.forwarder), takeovers_.erase(input.forwarder);
    found_lines_.erase(input.forwarder);
    log_event(LogEvent::Severity::info, "forwarder_left", {{"forwarder", proxy_name(input.forwarder)}});
    events_.push_back(std::move(event));
  }
}

void Coordinator::absorb(const ForwarderReport& input) {
  if (!proxy_presence_.present().contains(input.forwarder)) return;
  if (!report_aggregator_.add_forwarder_report(
          input, settings_.forwarders[input.forwarder.value - kFirstForwarderId].zone)) {
    ++counters_.rejected_samples;
    log_event(LogEvent::Severity::warning, "report_doubted", {{"forwarder", proxy_name(input.forwarder)}});
    return;
  }
  int tries = 0;
  for (const auto& record : input.rows) tries += record.tries;
  retry_budget_.record_tries(now_, input.forwarder, tries - input.further, input.further);
  for (const auto& [operation, n] : input.arrived)
    fleet_limit_.record_arrivals(input.forwarder, operation, n, settings_.report_every);
}

void Coordinator::absorb(const ForwarderAppliedTable& input) {
  if (const auto it = applied_versions_.find(input.forwarder); it != applied_versions_.end())
    it->second = input.version;
  if (const auto takeover = takeovers_.find(input.forwarder);
      takeover != takeovers_.end() && !takeover->second.until)
    takeover->second.until =
        now_ +
        settings_.report_every * (takeover->second.partially_sent ? kPartialTakeoverRounds : kTakeoverRounds);
}

// Returns why an order is rejected, or an empty string. No order may leave an operation without a backend.
std::string Coordinator::rejection_reason(const OperatorCommand& input) const {
  using Action = OperatorCommand::Action;
  if (input.action == Action::hold || input.action == Action::release) return "";
  const bool zone = input.action == Action::drain_zone || input.action == Action::undrain_zone;
  if (zone && std::find(settings_.zones.begin(), settings_.zones.end(), input.name) == settings_.zones.end())
    return fmt::format("no zone is called '{}'; known zones: {}", input.name,
                       fmt::join(settings_.zones, ", "));
  if (!zone && !backend_ids_.contains(input.name))
    return fmt::format("no backend is called '{}'", input.name);
  if (input.action == Action::set_weight && !(input.weight > 0 && input.weight <= 1e6))
    return "the weight must be above 0 and at most 1e6";
  if (input.action != Action::drain_zone && input.action != Action::disable) return "";
  for (std::size_t k = 0; k < settings_.operations.size(); ++k) {
    bool left = false;
    for (const auto& [id, record] : backends_) {
      const std::string& in = settings_.zones[record.entry.zone.value];
      if (!record.announced || record.announced->availability != Availability::ready ||
          (record.entry.operations >> k & 1U) == 0)
        continue;
      if (operator_overrides_.disabled(record.entry.name) || operator_overrides_.drained(in)) continue;
      left = left || (zone ? in != input.name : record.entry.name != input.name);
    }
    if (!left)
      return fmt::format("refused: it would leave no ready backend for '{}'", settings_.operations[k].name);
  }
  if (zone && input.action == Action::drain_zone && !input.force && spill_) {
    const auto z = static_cast<std::size_t>(
        std::find(settings_.zones.begin(), settings_.zones.end(), input.name) - settings_.zones.begin());
    if (!spill_->has_capacity_without(z))
      return fmt::format(
          "refused: the other zones have not shown spare capacity for the current traffic; 'drain zone {} "
          "anyway' drains it nevertheless",
          input.name);
  }
  return "";
}

void Coordinator::absorb(const OperatorCommand& input) {
  using Action = OperatorCommand::Action;
  effects_.command_results.push_back(rejection_reason(input));
  constexpr const char* names[] = {"set_weight", "drain_zone", "undrain_zone", "disable",
                                   "enable",     "hold",       "release"};
  log_event(LogEvent::Severity::info, "person_ordered",
            {{"order", names[static_cast<std::size_t>(input.action)]},
             {"name", input.name},
             {"refused", effects_.command_results.back()}});
  if (!effects_.command_results.back().empty()) return;
  switch (input.action) {
    case Action::set_weight:
      operator_overrides_.set_weight(now_, input.name, input.weight, input.lifetime);
      break;
    case Action::drain_zone:
      operator_overrides_.drain(now_, input.name);
      break;
    case Action::undrain_zone:
      operator_overrides_.undrain(now_, input.name);
      break;
    case Action::disable:
      operator_overrides_.disable(now_, input.name);
      break;
    case Action::enable:
      operator_overrides_.enable(now_, input.name);
      break;
    case Action::hold:
      decisions_held_ = true, hold_ordered_at_ = now_;
      break;
    case Action::release:
      decisions_held_ = false, hold_ordered_at_ = now_;
      break;
  }
  for (const auto& [id, record] : backends_) changed_backends_.insert(id);
  next_override_change_ = operator_overrides_.next_change(now_);
}

std::string Coordinator::proxy_name(ProxyId proxy) const {
  return is_forwarder(proxy) ? settings_.forwarders[proxy.value - kFirstForwarderId].name
                             : settings_.groups[proxy.value].name;
}

// A refused connection proves that no process listens there, so these removals are not subject to the
// policy's limits on exclusions. But if more than half of the listed backends refuse, a fault of this
// coordinator's own network view is likelier than the loss of the fleet, and the refusals are ignored.
void Coordinator::update_refusing(BackendId backend) {
  const auto record = backends_.find(backend);
  if (record != backends_.end() && record->second.listed && report_aggregator_.refuses_connections(backend)) {
    refusing_.insert(backend);
  } else {
    refusing_.erase(backend);
  }
  changed_backends_.insert(backend);
  const bool counts = refusing_.size() * 2 <= roster_size_;
  if (counts == refusals_trusted_) return;
  refusals_trusted_ = counts;
  changed_backends_.insert(refusing_.begin(), refusing_.end());
  log_event(LogEvent::Severity::warning, counts ? "absence_heeded" : "absence_not_believed",
            {{"refusing", std::to_string(refusing_.size())}, {"listed", std::to_string(roster_size_)}});
}

// Whether it gets less than its listed weight because it drains or by an operator's order, rather than for
// its health.
bool Coordinator::weight_lowered(const BackendRecord& record) const {
  if (record.announced->availability == Availability::draining) return true;
  return operator_overrides_.any() &&
         operator_overrides_.effective(record.entry.name, settings_.zones[record.entry.zone.value], now_)
                 .share < 1;
}

// Passes changes of the backend list since the last call to the policy.
void Coordinator::announce_roster() {
  BackendListUpdate listed{roster_announced_ ? ListScope::delta : ListScope::full, {}};
  changed_backends_.insert(unannounced_.begin(), unannounced_.end());
  if (next_override_change_ && now_ >= *next_override_change_) {
    for (const auto& [id, record] : backends_) changed_backends_.insert(id);
    next_override_change_ = operator_overrides_.next_change(now_);
  }
  PolicySnapshot memory;
  for (const auto id : std::exchange(changed_backends_, {})) {
    BackendRecord& record = backends_.at(id);
    const bool returned = record.announced &&
                          // announced again like a new backend
                          record.announced->availability == Availability::gone;
    if (refusals_trusted_ && refusing_.contains(id)) record.first_seen = now_;
    const bool known = report_aggregator_.has_reported(id) ||
                       now_ - record.first_seen >= settings_.unserved * kIntroductionShare ||
                       (record.announced.has_value() && !returned);
    if (!known && (record.listed || !record.announced)) {
      if (record.listed) unannounced_.insert(id);
      continue;
    }
    unannounced_.erase(id);
    restore_backend(id, record, memory);
    const auto remembered = remembered_.find(record.entry.name);
    BackendListUpdate::Entry entry{id, record.entry.zone, record.entry.availability, record.entry.weight, {}};
    if (!record.listed || (refusals_trusted_ && refusing_.contains(id))) {
      entry.availability = Availability::gone;
    } else if (entry.availability == Availability::ready &&
               (report_aggregator_.draining(id) ||
                (remembered != remembered_.end() && remembered->second.drain))) {
      entry.availability = Availability::draining;
    }
    if (operator_overrides_.any()) {
      const auto override_now =
          operator_overrides_.effective(record.entry.name, settings_.zones[record.entry.zone.value], now_);
      entry.weight =
          override_now.weight.value_or(entry.weight) * (override_now.share > 0 ? override_now.share : 1);
      if (override_now.disabled && entry.availability == Availability::ready)
        entry.availability = Availability::draining;
    }
    // A draining backend is no capacity. The policy computes capacity from listed weights, including draining
    // backends; with a whole zone draining it would admit more work than the other zones can handle.
    if (entry.availability == Availability::draining) entry.weight *= kDrainedWeightFactor;
    // The start time matters only during slow start; after that the announced one is kept.
    auto started = report_aggregator_.started_at(id);
    if (!started && remembered != remembered_.end() && remembered->second.cold)
      started = remembered->second.cold->times.at("started");
    if (started && now_ - *started < settings_.cold_for) entry.started = started;
    if (!entry.started && record.announced) entry.started = record.announced->started;
    if (record.announced && record.announced->zone == entry.zone &&
        record.announced->availability == entry.availability && record.announced->weight == entry.weight &&
        record.announced->started == entry.started)
      continue;
    if (!record.announced && entry.availability == Availability::gone) continue;
    const bool degraded = record.announced && (entry.availability != Availability::ready ||
                                               record.announced->started != entry.started);
    if (degraded) record.invalidated_at = now_;
    if (!record.announced || record.announced->availability != entry.availability || degraded)
      log_event(LogEvent::Severity::info, "backend",
                {{"backend", record.entry.name},
                 {"state", name_of(entry.availability)},
                 {"cold", entry.started && now_ - *entry.started < settings_.cold_for ? "yes" : "no"}});
    record.announced = entry;
    listed.entries.push_back(entry);
    publish_needed_ = fallback_stale_ = true;
    ++guard_generation_;
  }
  // Before the policy gets the list: a backend that was excluded must not get its full weight first.
  if (!memory.backends.empty() && decision_maker_.import_state) decision_maker_.import_state(now_, memory);
  if (listed.entries.empty()) return;
  roster_announced_ = true;
  events_.insert(events_.begin(), std::move(listed));
}

// ---- Orders --------------------------------------------------------------------------------------------

void Coordinator::apply(const std::vector<Order>& orders) {
  std::set<TableId> changed;
  counters_.orders += orders.size();
  for (const auto& order : orders) {
    if (const auto* line = std::get_if<SetWeight>(&order)) {
      auto& lines = ordered_tables_[line->table].lines;
      if (line->weight > 0) {
        lines[line->backend] = line->weight;
      } else {
        lines.erase(line->backend);
      }
      changed.insert(line->table);
    } else if (const auto* level = std::get_if<SetAdmission>(&order)) {
      auto& levels = ordered_tables_[level->table].levels;
      levels.resize(settings_.operations.size());
      levels.at(level->operation.value) = {level->retries, level->limit};
      changed.insert(level->table);
    } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
      if (!proxy_presence_.present().contains(bind->proxy)) continue;
      bound_tables_[bind->proxy] = bind->table;
      if (!current_tables_.contains(bind->table)) {
        ordered_tables_[bind->table].id = bind->table;
        current_tables_[bind->table] = std::make_shared<const Table>(ordered_tables_[bind->table]);
        changed.insert(bind->table);
      }
    } else if (const auto* wake = std::get_if<SetTimer>(&order)) {
      timers_.emplace(now_ + wake->after, wake->tag);
    }  // SubscribeToList needs no action: the roster is always watched
  }
  unapplied_tables_.insert(changed.begin(), changed.end());
  if (decisions_held_) return;
  for (const auto id : std::exchange(unapplied_tables_, {})) {
    Table& table = ordered_tables_[id];
    table.id = id, table.version = ++table_version_, table.created_at = now_;
    current_tables_[id] = std::make_shared<const Table>(table);
    table_history_.push_back(current_tables_[id]);
    if (table_history_.size() > kTableHistorySize) table_history_.pop_front();
  }
}

// Requests the table of each proxy from the channel. While decisions are on hold, tables change only to
// remove unusable backends.
void Coordinator::request_tables() {
  for (const auto& [proxy, table] : bound_tables_) {
    const TablePtr& newest = current_tables_.at(table);
    const ZoneId zone = is_forwarder(proxy) ? settings_.forwarders[proxy.value - kFirstForwarderId].zone
                                            : settings_.groups[proxy.value].zone;
    channel_.request(proxy, spillover_table(is_forwarder(proxy) ? guarded_table(newest) : newest, zone));
  }
}

// The table for a forwarder, with the same filter and fallback lines as publish() applies to views.
TablePtr Coordinator::guarded_table(TablePtr table) {
  auto& [key, cached] = guarded_tables_[table->id];
  if (cached && key == std::pair{table->version, guard_generation_}) return cached;
  key = {table->version, guard_generation_};
  Table fresh = *table;
  std::erase_if(fresh.lines, [&](const auto& line) {
    const auto record = backends_.find(line.first);
    return record == backends_.end() || !record->second.usable(table->created_at, settings_.removal_binds);
  });
  fresh.urgent = fresh.lines.size() < table->lines.size();
  if (cached)
    for (const auto& [id, weight] : cached->lines) {
      const auto record = backends_.find(id);
      fresh.urgent = fresh.urgent ||
                     (!fresh.lines.contains(id) &&
                      (record == backends_.end() || !record->second.usable(now_, settings_.removal_binds)));
    }
  if (fresh.lines.empty())
    for (const auto& [id, record] : backends_)
      if (record.announced && record.announced->availability == Availability::ready && warm(record))
        fresh.lines[id] = record.entry.weight;
  if (cached && cached->lines == fresh.lines && cached->levels == fresh.levels) return cached;
  fresh.version = ++table_version_;
  return cached = std::make_shared<const Table>(std::move(fresh));
}

std::shared_ptr<const DesiredTable> Coordinator::desired_table(ProxyId forwarder, const Table& table) {
  auto desired = std::make_shared<DesiredTable>();
  desired->version = table.version;
  const auto lines = forwarder_lines(forwarder, table);
  for (std::size_t k = 0; k < settings_.operations.size(); ++k) {
    DesiredTable::Operation part{settings_.operations[k].name, {}, {}, -1};
    for (const auto& [id, weight] : lines) {
      const auto record = backends_.find(id);
      // The backend may have become unusable while the update was in the channel.
      if (record == backends_.end() || (record->second.entry.operations >> k & 1U) == 0) continue;
      if (record->second.announced && !record->second.usable(now_, settings_.removal_binds)) continue;
      part.lines.push_back(
          {id, record->second.entry.name, record->second.entry.at, weight, !warm(record->second)});
    }
    if (k < table.levels.size()) part.level = table.levels[k];
    part.level.tries = limits::allowed_retries(settings_.operations[k].effect, part.level.tries);
    // While control of a forwarder changes hands, tries of the former controller may still be running, so no
    // retries.
    if (takeovers_.contains(forwarder)) part.level.tries = RetryPolicy::none;
    if (const auto it = limit_shares_.find({forwarder, operation_at(k)}); it != limit_shares_.end())
      part.rate_limit = it->second;
    desired->operations.push_back(std::move(part));
  }
  if (settings_.retry_share > 0) {
    const auto part = retry_budget_.allocations().find(forwarder);
    desired->retry_ratio = part == retry_budget_.allocations().end() ? settings_.retry_share : part->second;
  }
  for (const auto& [id, record] : backends_)
    if (record.listed) desired->known_backends.push_back(record.entry.name);
  return desired;
}

// Distributes the fleet's admission limit anew after each round; forwarders with a changed share get a
// delivery.
void Coordinator::distribute_limits() {
  auto fresh = fleet_limit_.allocations();
  std::set<ProxyId> changed_proxies;
  const auto differs = [](double a, double b) {
    return std::abs(a - b) > 0.1 * std::max(a, b);
  };  // large enough to send
  for (const auto& [key, part] : fresh)
    if (const auto it = limit_shares_.find(key); it == limit_shares_.end() || differs(part, it->second))
      changed_proxies.insert(key.first);
  for (const auto& [key, part] : limit_shares_)
    if (!fresh.contains(key)) changed_proxies.insert(key.first);
  if (changed_proxies.empty()) return;
  for (const auto proxy : changed_proxies) {
    std::erase_if(limit_shares_, [&](const auto& record) { return record.first.first == proxy; });
    for (const auto& [key, part] : fresh)
      if (key.first == proxy) limit_shares_[key] = part;
    const auto in_force = channel_.in_force().find(proxy);
    if (in_force != channel_.in_force().end() && in_force->second)
      effects_.deliveries.push_back({proxy, desired_table(proxy, *in_force->second)});
  }
}

// Distributes the retry budget anew after each round.
void Coordinator::distribute_retry_budget() {
  // Each delivery carries the share at that time, so the shares before this distribution, restored ones
  // included, are those that were sent.
  const auto before = retry_budget_.allocations();
  for (const auto& [proxy, part] : retry_budget_.allocate(now_)) {
    const auto previous = before.find(proxy);
    if (part == (previous == before.end() ? settings_.retry_share : previous->second)) continue;
    const auto in_force = channel_.in_force().find(proxy);
    if (in_force != channel_.in_force().end() && in_force->second)
      effects_.deliveries.push_back({proxy, desired_table(proxy, *in_force->second)});
  }
}

std::vector<Coordinator::BackendState> Coordinator::backends() const {
  std::vector<BackendState> all;
  for (const auto& [id, record] : backends_) {
    BackendState b;
    b.name = record.entry.name, b.zone = settings_.zones[record.entry.zone.value], b.at = record.entry.at;
    b.state = record.announced ? name_of(record.announced->availability) : "unknown";
    b.listed_weight = record.announced ? record.announced->weight : record.entry.weight;
    for (const auto& [table, version] : current_tables_)
      if (const auto line = version->lines.find(id); line != version->lines.end())
        b.weight = std::max(b.weight, line->second);
    b.cold = record.announced && !warm(record), b.refuses_connections = refusing_.contains(id);
    const auto override_now = operator_overrides_.effective(b.name, b.zone, now_);
    b.operator_override = !(override_now == OperatorOverrides::Override{});
    if (const auto fault = sample_faults_.find(id); fault != sample_faults_.end())
      b.sample_fault = coordinator::name_of(fault->second);
    all.push_back(std::move(b));
  }
  return all;
}

TablePtr Coordinator::table_version(std::uint64_t version) const {
  for (const auto& table : table_history_)
    if (table->version == version) return table;
  return {};
}

std::vector<Coordinator::ProxyState> Coordinator::proxies() const {
  std::vector<ProxyState> all;
  for (const auto& [proxy, seen] : proxy_presence_.present()) {
    ProxyState p;
    p.name = proxy_name(proxy), p.id = proxy, p.rate = proxy_presence_.usual_rate(proxy);
    if (const auto bound = bound_tables_.find(proxy); bound != bound_tables_.end()) p.table = bound->second;
    if (const auto in_force = channel_.in_force().find(proxy);
        in_force != channel_.in_force().end() && in_force->second)
      p.ordered_version = in_force->second->version;
    const auto applied = applied_versions_.find(proxy);
    p.applied_version = applied == applied_versions_.end() ? p.ordered_version : applied->second;
    all.push_back(std::move(p));
  }
  return all;
}

// ---- Publishing ----------------------------------------------------------------------------------------

// Lines used when a group has no table yet or no usable line in it: the warm ready backends at their listed
// weights; if none is warm, the cold ones.
std::vector<Line> Coordinator::fallback_lines(OperationId operation) const {
  std::vector<Line> lines;
  for (const bool cold : {false, true}) {
    for (const auto& [id, record] : backends_)
      if (record.announced && record.announced->availability == Availability::ready && warm(record) != cold &&
          (record.entry.operations >> operation.value & 1U) != 0 && record.entry.weight > 0)
        lines.push_back({id, record.entry.weight});
    if (!lines.empty()) break;
  }
  return lines;
}

// Publishes the views in force, immutable and as a whole. Two checks apply whatever the tables contain: a
// line is dropped if its backend has since begun draining, was removed or restarted (a drain is honoured and
// a cold backend not overloaded); and no view is empty while a warm backend is listed as ready. Neither uses
// the channel, since DNS answers are made from views.
void Coordinator::publish() {
  if (std::exchange(fallback_stale_, false) || (next_slow_start_end_ && now_ >= *next_slow_start_end_)) {
    std::vector<std::vector<Line>> lines_by_operation;
    for (std::size_t k = 0; k < settings_.operations.size(); ++k)
      lines_by_operation.push_back(fallback_lines(operation_at(k)));
    if (lines_by_operation != fallback_lines_)
      fallback_lines_ = std::move(lines_by_operation), publish_needed_ = true;
    next_slow_start_end_.reset();
    for (const auto& [id, record] : backends_)
      if (record.announced && !warm(record))
        next_slow_start_end_ = std::min(next_slow_start_end_.value_or(Instant{} + Span::micros(INT64_MAX)),
                                        *record.announced->started + settings_.cold_for);
  }
  if (!publish_needed_) return;
  publish_needed_ = false;
  std::map<BackendId, DirectoryEntry> directory;
  for (const auto& [id, record] : backends_)
    directory.emplace(id, DirectoryEntry{record.entry.name, record.entry.at, record.entry.zone,
                                         record.usable(now_, settings_.removal_binds)});
  if (directory != *directory_)
    directory_ = std::make_shared<const std::map<BackendId, DirectoryEntry>>(std::move(directory));

  auto next = std::make_shared<PublishedState>();
  next->version = ++publish_version_;
  next->directory = directory_;
  next->lifetime = answer_lifetime(settings_);
  std::map<std::pair<std::uint64_t, OperationId>, std::shared_ptr<const RoutingView>> views;
  const auto view = [&](const Table* table, std::size_t k) {
    const std::pair key{table == nullptr ? 0 : table->version, operation_at(k)};
    auto& cached = views[key];
    if (cached) return cached;
    RoutingView fresh{0, operation_at(k), {}, {}};
    if (table != nullptr) {
      for (const auto& [id, weight] : table->lines) {
        const auto record = backends_.find(id);
        if (record == backends_.end() || (record->second.entry.operations >> k & 1U) == 0) continue;
        if (record->second.usable(table->created_at, settings_.removal_binds)) {
          const std::size_t zone = record->second.entry.zone.value;
          fresh.lines.push_back({id, weight, zone < table->tiers.size() ? table->tiers[zone] : 0});
        } else {
          ++counters_.filtered_lines;
        }
      }
      if (k < table->levels.size()) fresh.level = table->levels[k];
      if (fresh.lines.empty() && !fallback_lines_[k].empty()) ++counters_.fallback_views;
    }
    if (fresh.lines.empty()) fresh.lines = fallback_lines_[k];
    // Clients that fail over between tiers need lines in tier 0.
    if (std::none_of(fresh.lines.begin(), fresh.lines.end(), [](const Line& l) { return l.tier == 0; }))
      for (auto& l : fresh.lines) l.tier = 0;
    // An unchanged view keeps its version, so that DNS answers need not be built again.
    const auto previous = views_.find(key);
    if (previous != views_.end() && previous->second->lines == fresh.lines &&
        previous->second->level == fresh.level)
      return cached = previous->second;
    fresh.version = ++view_version_;
    return cached = std::make_shared<const RoutingView>(std::move(fresh));
  };
  next->views.resize(settings_.groups.size());
  for (std::size_t g = 0; g < settings_.groups.size(); ++g) {
    const TablePtr in_force = group_table_for(ProxyId{static_cast<std::uint16_t>(g)});
    const Table* table = in_force.get();
    for (std::size_t k = 0; k < settings_.operations.size(); ++k) next->views[g].push_back(view(table, k));
  }
  views_ = std::move(views);
  effects_.published = std::move(next);
}

Effects Coordinator::step(Instant now, const std::vector<Input>& inputs) {
  now_ = std::max(now_, now);
  effects_ = {};
  // Proxies that joined before the first backend list wait for it: their events would not be repeated.
  if (roster_announced_) events_.clear();
  std::erase_if(events_, [](const Event& e) {
    return !std::holds_alternative<ProxyJoined>(e) && !std::holds_alternative<ProxyLeft>(e);
  });
  ++counters_.steps;
  for (const auto& input : inputs) std::visit([this](const auto& e) { absorb(e); }, input);
  for (auto& event : proxy_presence_.remove_idle(now_)) {
    const ProxyId group = std::get<ProxyLeft>(event).proxy;
    channel_.leave(group), bound_tables_.erase(group);
    log_event(LogEvent::Severity::info, "group_left", {{"group", settings_.groups[group.value].name}});
    events_.push_back(std::move(event));
    publish_needed_ = true;
  }
  announce_roster();
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    events_.emplace_back(TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  if (!next_round_ || now_ >= *next_round_) {
    next_round_ = now_ + settings_.report_every;
    auto reports = report_aggregator_.take_reports(now_);
    proxy_presence_.record_arrivals(reports);
    if (settings_.fleet_rate > 0) distribute_limits();
    if (settings_.retry_share > 0) distribute_retry_budget();
    if (spill_) update_spillover(reports);
    // Idle processors of a draining backend, or of one with a weight lowered by an operator, are no spare
    // capacity.
    for (auto& event : reports)
      if (auto* r = std::get_if<BackendReport>(&event); r != nullptr && r->utilization)
        if (const auto record = backends_.find(r->backend);
            record != backends_.end() && record->second.announced && weight_lowered(record->second))
          r->utilization.reset();
    for (auto& event : reports)
      if (const auto* d = std::get_if<DemandReport>(&event);
          d == nullptr || proxy_presence_.present().contains(d->proxy))
        events_.push_back(std::move(event));
  }
  if (!events_.empty() && roster_announced_) apply(decision_maker_.handle(now_, std::exchange(events_, {})));
  end_takeovers();

  if (!decisions_held_ && !unapplied_tables_.empty()) apply({});
  request_tables();
  const auto held_before = channel_.deferred_messages();
  effects_.messages = channel_.dispatch(now_);
  counters_.messages += effects_.messages.size();
  if (channel_.deferred_messages() != held_before)
    log_event(LogEvent::Severity::warning, "channel_full",
              {{"waiting", fmt::format("{:.0f}", channel_.backlog(now_))},
               {"backlog", fmt::format("{:.0f}", settings_.backlog)},
               {"held_back", std::to_string(channel_.deferred_messages())}});
  const auto arrived = channel_.take_arrived(now_);
  if (!arrived.empty() || !effects_.messages.empty()) publish_needed_ = true;
  for (const auto proxy : std::set<ProxyId>{arrived.begin(), arrived.end()})
    if (is_forwarder(proxy)) {
      const TablePtr& table = channel_.in_force().at(proxy);
      delivered_versions_[proxy] = table->version;
      effects_.deliveries.push_back({proxy, desired_table(proxy, *table)});
    }
  publish();

  effects_.next_wakeup = *next_round_;
  if (!timers_.empty()) effects_.next_wakeup = std::min(effects_.next_wakeup, timers_.begin()->first);
  if (next_override_change_) effects_.next_wakeup = std::min(effects_.next_wakeup, *next_override_change_);
  if (next_slow_start_end_) effects_.next_wakeup = std::min(effects_.next_wakeup, *next_slow_start_end_);
  for (const auto& [proxy, takeover] : takeovers_)
    if (takeover.until) effects_.next_wakeup = std::min(effects_.next_wakeup, *takeover.until);
  for (const auto& [proxy, found] : found_lines_)
    effects_.next_wakeup = std::min(effects_.next_wakeup, found.until);
  if (const auto arrival = channel_.next_arrival())
    effects_.next_wakeup = std::min(effects_.next_wakeup, *arrival);
  return std::move(effects_);
}

}  // namespace gorsemount::coordinator

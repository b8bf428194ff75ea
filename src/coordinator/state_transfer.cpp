// Exports the coordinator's state as facts for other controllers and for its own restart, and imports such
// facts. The current roster takes precedence over restored state, except that a drain stands until the worker
// itself reports otherwise.
#include <algorithm>
#include <utility>

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

using recovery::Entry;
using recovery::Fact;
using recovery::FactKind;
using recovery::Facts;

namespace {

// Two estimates of one start time differ by network delays and clock drift; two starts of a worker are
// further apart.
const Span kStartTolerance = Span::seconds(2);
// The lines of a table are split into several facts, so that a change of one line does not resend the whole
// table.
constexpr std::size_t kTableLineShards = 16;
// A leader detects a backend's restart by its own polls, about as soon as this controller does, and changes
// its table in the next round.
const Span kLeaderPropagation = Span::seconds(3);
// Resolution of the time of a group's last lookup: a quarter of the shortest group_idle that settings allow.
const Span kLastSeenResolution = Span::seconds(2.5);

Fact fact_of_share_state(const PolicySnapshot::ShareState& share_state, Instant now) {
  Fact f;
  f.figures = {{"share", share_state.share},
               {"falling", share_state.reducing ? 1 : 0},
               {"eased", share_state.was_slow ? 1 : 0},
               {"relapses", share_state.failed_trials}};
  f.times = {{"next", now + share_state.next_step_in}, {"changed", now - share_state.since_change}};
  return f;
}

double figure(const Fact& f, const char* name, double fallback) {
  const auto it = f.figures.find(name);
  return it == f.figures.end() ? fallback : it->second;
}
std::optional<Instant> time_of(const Fact& f, const char* name) {
  const auto it = f.times.find(name);
  return it == f.times.end() ? std::nullopt : std::optional{it->second};
}

// Returns nullopt if a figure is out of range.
std::optional<PolicySnapshot::ShareState> share_state_of(const Fact& f, Instant now) {
  PolicySnapshot::ShareState share_state;
  share_state.share = figure(f, "share", -1), share_state.reducing = figure(f, "falling", 0) > 0,
  share_state.was_slow = figure(f, "eased", 0) > 0;
  const double relapses = figure(f, "relapses", 0);
  if (!(share_state.share >= 0 && share_state.share <= 1) || !(relapses >= 0 && relapses <= 1000)) return {};
  share_state.failed_trials = static_cast<int>(relapses);
  share_state.next_step_in = time_of(f, "next").value_or(now) - now,
  share_state.since_change = now - time_of(f, "changed").value_or(now);
  return share_state;
}

}  // namespace

Facts Coordinator::facts() const {
  Facts all;
  const auto backend_name = [&](BackendId id) {
    const auto record = backends_.find(id);
    return record == backends_.end() ? std::string{} : record->second.entry.name;
  };
  const auto for_instance = [&](BackendId id, Fact f) {
    f.instance = backends_.at(id).entry.at.text();
    if (const auto started = report_aggregator_.started_at(id)) f.times["started"] = *started;
    return f;
  };
  if (decision_maker_.export_state) {
    const PolicySnapshot m = decision_maker_.export_state(now_);
    for (const auto& [zone, share_state] : m.zones)
      if (zone.value < settings_.zones.size())
        all[{FactKind::zone_ladder, settings_.zones[zone.value]}] = fact_of_share_state(share_state, now_);
    for (const auto& [key, share_state] : m.links)
      if (key.first.value < settings_.zones.size() && key.second.value < settings_.zones.size())
        all[{FactKind::link_ladder,
             settings_.zones[key.first.value] + ">" + settings_.zones[key.second.value]}] =
            fact_of_share_state(share_state, now_);
    for (const auto& [id, share_state] : m.backends)
      if (backends_.contains(id))
        all[{FactKind::backend_ladder, backend_name(id)}] =
            for_instance(id, fact_of_share_state(share_state, now_));
    Fact carried;
    for (std::size_t k = 0; k < m.capacity_samples.size(); ++k)
      carried.figures[std::to_string(k)] = m.capacity_samples[k];
    if (!m.capacity_samples.empty()) all[{FactKind::carried, "fleet"}] = carried;
  }
  for (const auto& [id, record] : backends_) {
    if (!record.announced) continue;
    if (record.announced->availability == Availability::draining &&
        !operator_overrides_.disabled(record.entry.name))
      all[{FactKind::drain, record.entry.name}] = for_instance(id, {});
    if (!warm(record) && record.announced->availability == Availability::ready) {
      Fact cold = for_instance(id, {});
      cold.times["started"] = *record.announced->started;
      all[{FactKind::cold_start, record.entry.name}] = cold;
    }
  }
  for (const auto& [proxy, seen] : proxy_presence_.present()) {
    all[{FactKind::usual_rate, proxy_name(proxy)}].figures["rate"] = proxy_presence_.usual_rate(proxy);
    if (!is_forwarder(proxy)) {
      const auto bound = bound_tables_.find(proxy);
      if (bound != bound_tables_.end())
        all[{FactKind::group_table, proxy_name(proxy)}].figures["table"] = bound->second.value;
    }
  }
  for (const auto& [proxy, seen] : last_lookups_)
    if (now_ - seen < settings_.group_idle) {
      // Rounded down, so that the fact changes now and then rather than with each lookup.
      const auto steps = (seen - Instant{}).micros() / kLastSeenResolution.micros();
      all[{FactKind::group_seen, proxy_name(proxy)}].times["seen"] =
          Instant{} + Span::micros(steps * kLastSeenResolution.micros());
    }
  for (const auto& [proxy, part] : retry_budget_.allocations())
    if (std::abs(part - settings_.retry_share) > 1e-9)
      all[{FactKind::further_tries, proxy_name(proxy)}].figures["part"] = part;
  for (const auto& [proxy, version] : delivered_versions_)
    all[{FactKind::sent_table, proxy_name(proxy)}].figures["version"] = static_cast<double>(version);
  for (const auto& [proxy, version] : applied_versions_)
    if (version > 0)
      all[{FactKind::held_table, proxy_name(proxy)}].figures["version"] = static_cast<double>(version);
  std::set<TableId> group_tables;
  for (const auto& [proxy, table] : bound_tables_)
    if (!is_forwarder(proxy)) group_tables.insert(table);
  for (const auto id : group_tables) {
    const auto it = current_tables_.find(id);
    if (it == current_tables_.end()) continue;
    const std::string number = std::to_string(id.value);
    for (const auto& [backend, weight] : it->second->lines)
      if (backends_.contains(backend))
        all[{FactKind::table_lines, number + "/" + std::to_string(backend.value % kTableLineShards)}]
            .figures[backend_name(backend)] = weight;
    Fact levels;
    for (std::size_t k = 0; k < it->second->levels.size() && k < settings_.operations.size(); ++k) {
      levels.figures["level " + settings_.operations[k].name] = it->second->levels[k].level;
      levels.figures["tries " + settings_.operations[k].name] =
          static_cast<double>(it->second->levels[k].tries);
    }
    if (!levels.figures.empty()) all[{FactKind::table_levels, number}] = levels;
  }
  for (const auto& [name, w] : operator_overrides_.weight_orders())
    all[{FactKind::person_weight, name}] = {
        "", {{"weight", w.weight}}, {{"until", w.until}, {"ordered", w.ordered}}};
  for (const auto& [name, o] : operator_overrides_.disable_orders())
    all[{FactKind::person_out, name}] = {"", {{"out", o.disabled ? 1 : 0}}, {{"ordered", o.ordered}}};
  for (const auto& [name, z] : operator_overrides_.zone_orders())
    all[{FactKind::person_zone, name}] = {
        "", {{"down", z.draining ? 1 : 0}, {"from", z.start_share}}, {{"ordered", z.since}}};
  if (hold_ordered_at_)
    all[{FactKind::hold, settings_.zones[settings_.zone.value]}] = {
        "", {{"on", decisions_held_ ? 1 : 0}}, {{"ordered", *hold_ordered_at_}}};
  all[{FactKind::fleet, "fleet"}].figures["backends"] = static_cast<double>(roster_size_);
  return all;
}

bool Coordinator::zone_shift_in_progress() const {
  if (next_override_change_ && !operator_overrides_.zone_orders().empty()) return true;
  if (!decision_maker_.export_state) return false;
  const PolicySnapshot m = decision_maker_.export_state(now_);
  return std::any_of(m.zones.begin(), m.zones.end(),
                     [](const auto& record) { return record.second.reducing || record.second.share < 1; });
}

void Coordinator::absorb(const FactsReceived& input) {
  PolicySnapshot memory;
  std::map<std::string, std::uint64_t> sent, held;
  const auto find_zone = [&](const std::string& name) -> std::optional<ZoneId> {
    const auto it = std::find(settings_.zones.begin(), settings_.zones.end(), name);
    if (it == settings_.zones.end()) return {};
    return ZoneId{static_cast<std::uint16_t>(it - settings_.zones.begin())};
  };
  const auto find_proxy = [&](const std::string& name) -> std::optional<ProxyId> {
    for (std::size_t k = 0; k < settings_.groups.size(); ++k)
      if (settings_.groups[k].name == name) return ProxyId{static_cast<std::uint16_t>(k)};
    for (std::size_t k = 0; k < settings_.forwarders.size(); ++k)
      if (settings_.forwarders[k].name == name)
        return ProxyId{static_cast<std::uint16_t>(kFirstForwarderId + k)};
    return {};
  };
  bool overrides_changed = false;
  restored_own_state_ = restored_own_state_ || input.from_previous_run;
  for (const Entry& entry : input.facts) {
    const Fact& f = entry.fact;
    const std::string& name = entry.subject.name;
    const auto ordered = time_of(f, "ordered");
    // A removed fact matters only for zone orders, which are revoked by removal.
    if (entry.deleted) {
      if (entry.subject.kind == FactKind::person_zone)
        overrides_changed |= operator_overrides_.forget_zone(name, entry.learned);
      continue;
    }
    switch (entry.subject.kind) {
      case FactKind::zone_ladder:
        if (const auto zone = find_zone(name))
          if (const auto share_state = share_state_of(f, now_)) memory.zones[*zone] = *share_state;
        break;
      case FactKind::link_ladder: {
        const auto at = name.find('>');
        if (at == std::string::npos) break;
        const auto from = find_zone(name.substr(0, at)), to = find_zone(name.substr(at + 1));
        if (const auto share_state = share_state_of(f, now_); share_state && from && to)
          memory.links[{*from, *to}] = *share_state;
        break;
      }
      case FactKind::backend_ladder:
        remembered_[name].share_state = f;
        break;
      case FactKind::drain:
        remembered_[name].drain = f;
        break;
      case FactKind::cold_start:
        if (f.times.contains("started")) remembered_[name].cold = f;
        break;
      case FactKind::carried:
        for (const auto& [index, able] : f.figures)
          if (able > 0) memory.capacity_samples.push_back(able);
        break;
      case FactKind::usual_rate:
        if (const auto proxy = find_proxy(name))
          proxy_presence_.restore_rate(*proxy, std::clamp(figure(f, "rate", 0), 0.0, 1e6));
        break;
      case FactKind::further_tries:
        if (const auto proxy = find_proxy(name); proxy && is_forwarder(*proxy))
          retry_budget_.restore(*proxy, figure(f, "part", settings_.retry_share));
        break;
      case FactKind::sent_table:
        sent[name] = static_cast<std::uint64_t>(figure(f, "version", 0));
        break;
      case FactKind::held_table:
        held[name] = static_cast<std::uint64_t>(figure(f, "version", 0));
        break;
      case FactKind::person_weight:
        if (const auto until = time_of(f, "until");
            until && ordered && *until > now_ && figure(f, "weight", 0) > 0)
          overrides_changed |= operator_overrides_.restore(
              name, OperatorOverrides::WeightOrder{figure(f, "weight", 1), *until, *ordered});
        break;
      case FactKind::person_out:
        if (ordered)
          overrides_changed |= operator_overrides_.restore(
              name, OperatorOverrides::DisableOrder{figure(f, "out", 0) > 0, *ordered});
        break;
      case FactKind::person_zone:
        if (ordered && find_zone(name))
          overrides_changed |= operator_overrides_.restore(
              name, OperatorOverrides::ZoneOrder{figure(f, "down", 0) > 0,
                                                 std::clamp(figure(f, "from", 1), 0.0, 1.0), *ordered});
        break;
      case FactKind::hold:
        if (ordered && (!hold_ordered_at_ || *hold_ordered_at_ < *ordered))
          decisions_held_ = figure(f, "on", 0) > 0, hold_ordered_at_ = ordered;
        break;
      case FactKind::group_seen:
        if (const auto proxy = find_proxy(name);
            proxy && !is_forwarder(*proxy) && !remotely_led_.contains(*proxy))
          if (const auto when = time_of(f, "seen"); when && now_ - *when < settings_.group_idle)
            absorb(GroupLookup{*proxy});
        break;
      case FactKind::group_table:
      case FactKind::table_lines:
      case FactKind::table_levels:
      case FactKind::fleet:
        break;
    }
  }
  for (const auto& [name, version] : sent)
    if (const auto proxy = find_proxy(name))
      partially_sent_[*proxy] = !held.contains(name) || held.at(name) != version;
  if (decision_maker_.import_state &&
      (!memory.zones.empty() || !memory.links.empty() || !memory.capacity_samples.empty()))
    decision_maker_.import_state(now_, memory);
  if (overrides_changed) next_override_change_ = operator_overrides_.next_change(now_);
  for (const auto& [id, record] : backends_)
    if (overrides_changed || remembered_.contains(record.entry.name)) changed_backends_.insert(id);
}

// State restored for a name applies only to the process it was recorded for: the same address and, if both
// are known, the same start time.
void Coordinator::restore_backend(BackendId id, BackendRecord& record, PolicySnapshot& memory) {
  const auto it = remembered_.find(record.entry.name);
  if (it == remembered_.end()) return;
  RememberedBackend& remembered = it->second;
  const std::string address = record.entry.at.text();
  const auto started = report_aggregator_.started_at(id);
  const auto other_process = [&](const Fact& f) {
    if (f.instance != address) return true;
    const auto then = time_of(f, "started");
    return started && then && (*started - *then > kStartTolerance || *then - *started > kStartTolerance);
  };
  for (auto* fact : {&remembered.share_state, &remembered.drain, &remembered.cold})
    if (*fact && other_process(**fact)) fact->reset();
  if (remembered.share_state) {
    if (const auto share_state = share_state_of(*remembered.share_state, now_))
      memory.backends[id] = *share_state;
    remembered.share_state.reset();
  }
  if (report_aggregator_.has_reported(id)) {
    // Its own reports apply from now on.
    remembered.cold.reset();
    if (remembered.drain && !report_aggregator_.draining(id)) remembered.drain.reset();
  }
  if (!remembered.share_state && !remembered.drain && !remembered.cold) remembered_.erase(it);
}

// The lines a forwarder gets for a table. After a restart with restored state these are for a while the
// weights it was found with, except for backends that are draining, gone or excluded; never an empty set.
std::map<BackendId, double> Coordinator::forwarder_lines(ProxyId forwarder, const Table& table) const {
  const auto found = found_lines_.find(forwarder);
  if (found == found_lines_.end()) return table.lines;
  std::map<BackendId, double> lines;
  for (const auto& [name, weight] : found->second.lines) {
    const auto id = backend_id(name);
    const auto record = id ? backends_.find(*id) : backends_.end();
    if (record == backends_.end() || !record->second.listed) continue;
    if (record->second.announced &&
        (!record->second.usable(now_, settings_.removal_binds) || !table.lines.contains(*id)))
      continue;
    lines[*id] = weight;
  }
  return lines.empty() ? table.lines : lines;
}

// Enables retries again at forwarders that were taken over.
void Coordinator::end_takeovers() {
  std::vector<ProxyId> expired;
  for (const auto& [proxy, found] : found_lines_)
    if (now_ >= found.until) expired.push_back(proxy);
  for (const auto proxy : expired) found_lines_.erase(proxy);
  for (const auto& [proxy, takeover] : takeovers_)
    if (takeover.until && now_ >= *takeover.until) expired.push_back(proxy);
  for (const auto proxy : expired) {
    takeovers_.erase(proxy), partially_sent_.erase(proxy);
    const auto held = channel_.in_force().find(proxy);
    if (held != channel_.in_force().end() && held->second)
      effects_.deliveries.push_back({proxy, desired_table(proxy, *held->second)});
  }
}

// ---- Groups led by another controller ------------------------------------------------------------------

void Coordinator::absorb(const GroupLeadership& input) {
  if (input.group.value >= settings_.groups.size() ||
      remotely_led_.contains(input.group) != input.locally_led)
    return;
  if (input.locally_led) {
    remotely_led_.erase(input.group);
    if (const auto seen = last_lookups_.find(input.group);
        seen != last_lookups_.end() && now_ - seen->second < settings_.group_idle)
      absorb(GroupLookup{input.group});
    return;
  }
  // The current table stays in force until the new leader is heard.
  if (const auto held = channel_.in_force().find(input.group); held != channel_.in_force().end())
    leader_tables_[input.group] = held->second;
  remotely_led_.insert(input.group);
  for (auto& event : proxy_presence_.on_left(input.group)) events_.push_back(std::move(event));
  channel_.leave(input.group), bound_tables_.erase(input.group);
}

void Coordinator::absorb(const LeaderTable& input) {
  if (!remotely_led_.contains(input.group) || !input.fresh) return;  // not fresh: keep the last table
  Table table;
  table.created_at = now_;
  for (const auto& [name, weight] : input.lines)
    if (const auto id = backend_id(name); id && weight > 0) table.lines[*id] = weight;
  for (const auto& [tries, level] : input.levels)
    table.levels.push_back({static_cast<RetryPolicy>(std::clamp(tries, 0, 3)), std::clamp(level, 0.0, 1.0)});
  if (table.lines.empty()) return;
  TablePtr& was = leader_tables_[input.group];
  // If the leader repeats the same lines after it must have noticed a backend's restart, the table counts as
  // made after the restart.
  const bool repeated_after_restart =
      was && std::any_of(was->lines.begin(), was->lines.end(), [&](const auto& line) {
        const auto record = backends_.find(line.first);
        return record != backends_.end() && record->second.invalidated_at > was->created_at &&
               now_ - record->second.invalidated_at > kLeaderPropagation;
      });
  if (was && !repeated_after_restart && was->lines == table.lines && was->levels == table.levels) return;
  table.version = ++table_version_;
  was = std::make_shared<const Table>(std::move(table));
  publish_needed_ = true;
}

// Until a new leader's own table is in force, the former leader's table applies.
TablePtr Coordinator::group_table_for(ProxyId group) const {
  if (!remotely_led_.contains(group))
    if (const auto held = channel_.in_force().find(group); held != channel_.in_force().end())
      return held->second;
  const auto it = leader_tables_.find(group);
  return it == leader_tables_.end() ? TablePtr{} : it->second;
}

}  // namespace gorsemount::coordinator

// What a coordinator tells of itself to others and to its next life, and what it takes from them. What
// discovery says now outranks memory, but for a drain, which stands till the worker itself says otherwise.
#include <algorithm>
#include <utility>

#include "coordinator/coordinator.hpp"

namespace gorsemount::coordinator {

using recovery::Entry;
using recovery::Fact;
using recovery::FactKind;
using recovery::Facts;

namespace {

// Two readings of one start differ by trips and by clocks' rates; two starts of one worker lie further apart.
const Span kSameStart = Span::seconds(2);
// A table's lines go out in parts, so that one that moved does not carry all of them along.
constexpr std::size_t kParts = 16;
// A leader hears of a backend's start by its own polls, about as soon as we do; and its table takes a round.
const Span kLeaderHears = Span::seconds(3);
// A group's lookups are news again after this long: a quarter of the shortest time that settings allow it to
// be idle.
const Span kSeenNews = Span::seconds(2.5);

Fact of_rung(const PolicySnapshot::ShareState& rung, Instant now) {
  Fact f;
  f.figures = {{"share", rung.share},
               {"falling", rung.reducing ? 1 : 0},
               {"eased", rung.was_slow ? 1 : 0},
               {"relapses", rung.failed_trials}};
  f.times = {{"next", now + rung.next_step_in}, {"changed", now - rung.since_change}};
  return f;
}

double figure(const Fact& f, const char* name, double otherwise) {
  const auto it = f.figures.find(name);
  return it == f.figures.end() ? otherwise : it->second;
}
std::optional<Instant> time_of(const Fact& f, const char* name) {
  const auto it = f.times.find(name);
  return it == f.times.end() ? std::nullopt : std::optional{it->second};
}

// Out of range is what no ladder can be; empty then.
std::optional<PolicySnapshot::ShareState> rung_of(const Fact& f, Instant now) {
  PolicySnapshot::ShareState rung;
  rung.share = figure(f, "share", -1), rung.reducing = figure(f, "falling", 0) > 0,
  rung.was_slow = figure(f, "eased", 0) > 0;
  const double relapses = figure(f, "relapses", 0);
  if (!(rung.share >= 0 && rung.share <= 1) || !(relapses >= 0 && relapses <= 1000)) return {};
  rung.failed_trials = static_cast<int>(relapses);
  rung.next_step_in = time_of(f, "next").value_or(now) - now,
  rung.since_change = now - time_of(f, "changed").value_or(now);
  return rung;
}

}  // namespace

Facts Coordinator::facts() const {
  Facts all;
  const auto name_at = [&](BackendId id) {
    const auto row = rows_.find(id);
    return row == rows_.end() ? std::string{} : row->second.entry.name;
  };
  const auto of_machine = [&](BackendId id, Fact f) {
    f.instance = rows_.at(id).entry.at.text();
    if (const auto started = evidence_.started(id)) f.times["started"] = *started;
    return f;
  };
  if (decide_.export_state) {
    const PolicySnapshot m = decide_.export_state(now_);
    for (const auto& [zone, rung] : m.zones)
      if (zone.value < s_.zones.size())
        all[{FactKind::zone_ladder, s_.zones[zone.value]}] = of_rung(rung, now_);
    for (const auto& [key, rung] : m.links)
      if (key.first.value < s_.zones.size() && key.second.value < s_.zones.size())
        all[{FactKind::link_ladder, s_.zones[key.first.value] + ">" + s_.zones[key.second.value]}] =
            of_rung(rung, now_);
    for (const auto& [id, rung] : m.backends)
      if (rows_.contains(id))
        all[{FactKind::backend_ladder, name_at(id)}] = of_machine(id, of_rung(rung, now_));
    Fact carried;
    for (std::size_t k = 0; k < m.capacity_samples.size(); ++k)
      carried.figures[std::to_string(k)] = m.capacity_samples[k];
    if (!m.capacity_samples.empty()) all[{FactKind::carried, "fleet"}] = carried;
  }
  for (const auto& [id, row] : rows_) {
    if (!row.told) continue;
    if (row.told->availability == Availability::draining && !persons_.out(row.entry.name))
      all[{FactKind::drain, row.entry.name}] = of_machine(id, {});
    if (!warm(row) && row.told->availability == Availability::ready) {
      Fact cold = of_machine(id, {});
      cold.times["started"] = *row.told->started;
      all[{FactKind::cold_start, row.entry.name}] = cold;
    }
  }
  for (const auto& [proxy, seen] : attendance_.present()) {
    all[{FactKind::usual_rate, proxy_name(proxy)}].figures["rate"] = attendance_.usual_rate(proxy);
    if (!is_forwarder(proxy)) {
      const auto bound = bound_.find(proxy);
      if (bound != bound_.end())
        all[{FactKind::group_table, proxy_name(proxy)}].figures["table"] = bound->second.value;
    }
  }
  for (const auto& [proxy, seen] : group_seen_)
    if (now_ - seen < s_.group_idle) {
      // In steps, so that it is news now and then and not with each lookup.
      const auto steps = (seen - Instant{}).micros() / kSeenNews.micros();
      all[{FactKind::group_seen, proxy_name(proxy)}].times["seen"] =
          Instant{} + Span::micros(steps * kSeenNews.micros());
    }
  for (const auto& [proxy, part] : retries_.allocations())
    if (std::abs(part - s_.retry_share) > 1e-9)
      all[{FactKind::further_tries, proxy_name(proxy)}].figures["part"] = part;
  for (const auto& [proxy, version] : sent_)
    all[{FactKind::sent_table, proxy_name(proxy)}].figures["version"] = static_cast<double>(version);
  for (const auto& [proxy, version] : holds_)
    if (version > 0)
      all[{FactKind::held_table, proxy_name(proxy)}].figures["version"] = static_cast<double>(version);
  std::set<TableId> of_groups;
  for (const auto& [proxy, table] : bound_)
    if (!is_forwarder(proxy)) of_groups.insert(table);
  for (const auto id : of_groups) {
    const auto it = versions_.find(id);
    if (it == versions_.end()) continue;
    const std::string number = std::to_string(id.value);
    for (const auto& [backend, weight] : it->second->lines)
      if (rows_.contains(backend))
        all[{FactKind::table_lines, number + "/" + std::to_string(backend.value % kParts)}]
            .figures[name_at(backend)] = weight;
    Fact levels;
    for (std::size_t k = 0; k < it->second->levels.size() && k < s_.operations.size(); ++k) {
      levels.figures["level " + s_.operations[k].name] = it->second->levels[k].level;
      levels.figures["tries " + s_.operations[k].name] = static_cast<double>(it->second->levels[k].tries);
    }
    if (!levels.figures.empty()) all[{FactKind::table_levels, number}] = levels;
  }
  for (const auto& [name, w] : persons_.weights())
    all[{FactKind::person_weight, name}] = {
        "", {{"weight", w.weight}}, {{"until", w.until}, {"ordered", w.ordered}}};
  for (const auto& [name, o] : persons_.outs())
    all[{FactKind::person_out, name}] = {"", {{"out", o.out ? 1 : 0}}, {{"ordered", o.ordered}}};
  for (const auto& [name, z] : persons_.zones())
    all[{FactKind::person_zone, name}] = {
        "", {{"down", z.down ? 1 : 0}, {"from", z.from}}, {{"ordered", z.since}}};
  if (hold_ordered_)
    all[{FactKind::hold, s_.zones[s_.zone.value]}] = {
        "", {{"on", hold_ ? 1 : 0}}, {{"ordered", *hold_ordered_}}};
  all[{FactKind::fleet, "fleet"}].figures["backends"] = static_cast<double>(listed_);
  return all;
}

bool Coordinator::zone_shift_in_progress() const {
  if (person_next_ && !persons_.zones().empty()) return true;
  if (!decide_.export_state) return false;
  const PolicySnapshot m = decide_.export_state(now_);
  return std::any_of(m.zones.begin(), m.zones.end(),
                     [](const auto& row) { return row.second.reducing || row.second.share < 1; });
}

void Coordinator::absorb(const FactsReceived& e) {
  PolicySnapshot memory;
  std::map<std::string, std::uint64_t> sent, held;
  const auto zone_at = [&](const std::string& name) -> std::optional<ZoneId> {
    const auto it = std::find(s_.zones.begin(), s_.zones.end(), name);
    if (it == s_.zones.end()) return {};
    return ZoneId{static_cast<std::uint16_t>(it - s_.zones.begin())};
  };
  const auto proxy_at = [&](const std::string& name) -> std::optional<ProxyId> {
    for (std::size_t k = 0; k < s_.groups.size(); ++k)
      if (s_.groups[k].name == name) return ProxyId{static_cast<std::uint16_t>(k)};
    for (std::size_t k = 0; k < s_.forwarders.size(); ++k)
      if (s_.forwarders[k].name == name) return ProxyId{static_cast<std::uint16_t>(kFirstForwarderId + k)};
    return {};
  };
  bool persons = false;
  own_memory_ = own_memory_ || e.from_previous_run;
  for (const Entry& entry : e.facts) {
    const Fact& f = entry.fact;
    const std::string& name = entry.subject.name;
    const auto ordered = time_of(f, "ordered");
    // What is gone says so only where somebody took an order back.
    if (entry.deleted) {
      if (entry.subject.kind == FactKind::person_zone) persons |= persons_.forget_zone(name, entry.learned);
      continue;
    }
    switch (entry.subject.kind) {
      case FactKind::zone_ladder:
        if (const auto zone = zone_at(name))
          if (const auto rung = rung_of(f, now_)) memory.zones[*zone] = *rung;
        break;
      case FactKind::link_ladder: {
        const auto at = name.find('>');
        if (at == std::string::npos) break;
        const auto from = zone_at(name.substr(0, at)), to = zone_at(name.substr(at + 1));
        if (const auto rung = rung_of(f, now_); rung && from && to) memory.links[{*from, *to}] = *rung;
        break;
      }
      case FactKind::backend_ladder:
        past_[name].ladder = f;
        break;
      case FactKind::drain:
        past_[name].drain = f;
        break;
      case FactKind::cold_start:
        if (f.times.contains("started")) past_[name].cold = f;
        break;
      case FactKind::carried:
        for (const auto& [place, able] : f.figures)
          if (able > 0) memory.capacity_samples.push_back(able);
        break;
      case FactKind::usual_rate:
        if (const auto proxy = proxy_at(name))
          attendance_.recall(*proxy, std::clamp(figure(f, "rate", 0), 0.0, 1e6));
        break;
      case FactKind::further_tries:
        if (const auto proxy = proxy_at(name); proxy && is_forwarder(*proxy))
          retries_.restore(*proxy, figure(f, "part", s_.retry_share));
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
          persons |=
              persons_.recall(name, OperatorOverrides::Weight{figure(f, "weight", 1), *until, *ordered});
        break;
      case FactKind::person_out:
        if (ordered)
          persons |= persons_.recall(name, OperatorOverrides::Out{figure(f, "out", 0) > 0, *ordered});
        break;
      case FactKind::person_zone:
        if (ordered && zone_at(name))
          persons |= persons_.recall(
              name, OperatorOverrides::Zone{figure(f, "down", 0) > 0,
                                            std::clamp(figure(f, "from", 1), 0.0, 1.0), *ordered});
        break;
      case FactKind::hold:
        if (ordered && (!hold_ordered_ || *hold_ordered_ < *ordered))
          hold_ = figure(f, "on", 0) > 0, hold_ordered_ = ordered;
        break;
      case FactKind::group_seen:
        if (const auto proxy = proxy_at(name);
            proxy && !is_forwarder(*proxy) && !led_elsewhere_.contains(*proxy))
          if (const auto when = time_of(f, "seen"); when && now_ - *when < s_.group_idle)
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
    if (const auto proxy = proxy_at(name))
      half_sent_[*proxy] = !held.contains(name) || held.at(name) != version;
  if (decide_.import_state &&
      (!memory.zones.empty() || !memory.links.empty() || !memory.capacity_samples.empty()))
    decide_.import_state(now_, memory);
  if (persons) person_next_ = persons_.next_change(now_);
  for (const auto& [id, row] : rows_)
    if (persons || past_.contains(row.entry.name)) touched_.insert(id);
}

// What was remembered of a name counts for the machine that it was remembered of: its place, and its start
// where both are known.
void Coordinator::recall_backend(BackendId id, Row& row, PolicySnapshot& memory) {
  const auto it = past_.find(row.entry.name);
  if (it == past_.end()) return;
  Past& past = it->second;
  const std::string place = row.entry.at.text();
  const auto started = evidence_.started(id);
  const auto another = [&](const Fact& f) {
    if (f.instance != place) return true;
    const auto then = time_of(f, "started");
    return started && then && (*started - *then > kSameStart || *then - *started > kSameStart);
  };
  for (auto* fact : {&past.ladder, &past.drain, &past.cold})
    if (*fact && another(**fact)) fact->reset();
  if (past.ladder) {
    if (const auto rung = rung_of(*past.ladder, now_)) memory.backends[id] = *rung;
    past.ladder.reset();
  }
  if (evidence_.introduced(id)) {
    // It speaks for itself from here on.
    past.cold.reset();
    if (past.drain && !evidence_.draining(id)) past.drain.reset();
  }
  if (!past.ladder && !past.drain && !past.cold) past_.erase(it);
}

// What a forwarder is to have for a table: for a while after a restart with memory what it was found to hold,
// less what is known to drain, to be gone or to be remembered as out; never nothing.
std::map<BackendId, double> Coordinator::lines_for(ProxyId forwarder, const Table& table) const {
  const auto found = found_.find(forwarder);
  if (found == found_.end()) return table.lines;
  std::map<BackendId, double> lines;
  for (const auto& [name, weight] : found->second.lines) {
    const auto id = backend_id(name);
    const auto row = id ? rows_.find(*id) : rows_.end();
    if (row == rows_.end() || !row->second.listed) continue;
    if (row->second.told && (!row->second.counts(now_, s_.removal_binds) || !table.lines.contains(*id)))
      continue;
    lines[*id] = weight;
  }
  return lines.empty() ? table.lines : lines;
}

// Further tries come back to forwarders that were taken over.
void Coordinator::end_care() {
  std::vector<ProxyId> over;
  for (const auto& [proxy, found] : found_)
    if (now_ >= found.until) over.push_back(proxy);
  for (const auto proxy : over) found_.erase(proxy);
  for (const auto& [proxy, care] : care_)
    if (care.until && now_ >= *care.until) over.push_back(proxy);
  for (const auto proxy : over) {
    care_.erase(proxy), half_sent_.erase(proxy);
    const auto held = channel_.in_force().find(proxy);
    if (held != channel_.in_force().end() && held->second)
      out_.deliveries.push_back({proxy, wanted_table(proxy, *held->second)});
  }
}

// ---- Groups that another controller leads -----------------------------------------------------------------

void Coordinator::absorb(const GroupLeadership& e) {
  if (e.group.value >= s_.groups.size() || led_elsewhere_.contains(e.group) != e.locally_led) return;
  if (e.locally_led) {
    led_elsewhere_.erase(e.group);
    if (const auto seen = group_seen_.find(e.group);
        seen != group_seen_.end() && now_ - seen->second < s_.group_idle)
      absorb(GroupLookup{e.group});
    return;
  }
  // What it has stays in force till its new leader is heard.
  if (const auto held = channel_.in_force().find(e.group); held != channel_.in_force().end())
    followed_[e.group] = held->second;
  led_elsewhere_.insert(e.group);
  for (auto& event : attendance_.left(e.group)) events_.push_back(std::move(event));
  channel_.leave(e.group), bound_.erase(e.group);
}

void Coordinator::absorb(const LeaderTable& e) {
  if (!led_elsewhere_.contains(e.group) || !e.fresh) return;  // not fresh: what stands, stands
  Table table;
  table.made = now_;
  for (const auto& [name, weight] : e.lines)
    if (const auto id = backend_id(name); id && weight > 0) table.lines[*id] = weight;
  for (const auto& [tries, level] : e.levels)
    table.levels.push_back({static_cast<RetryPolicy>(std::clamp(tries, 0, 3)), std::clamp(level, 0.0, 1.0)});
  if (table.lines.empty()) return;
  TablePtr& was = followed_[e.group];
  // Said anew, it counts for a backend that started anew, once its leader must have heard of that too.
  const bool renewed = was && std::any_of(was->lines.begin(), was->lines.end(), [&](const auto& line) {
                         const auto row = rows_.find(line.first);
                         return row != rows_.end() && row->second.learned > was->made &&
                                now_ - row->second.learned > kLeaderHears;
                       });
  if (was && !renewed && was->lines == table.lines && was->levels == table.levels) return;
  table.version = ++table_version_;
  was = std::make_shared<const Table>(std::move(table));
  dirty_ = true;
}

// Till a leader's own table has come into force, what was followed before goes on.
TablePtr Coordinator::table_of_group(ProxyId group) const {
  if (!led_elsewhere_.contains(group))
    if (const auto held = channel_.in_force().find(group); held != channel_.in_force().end())
      return held->second;
  const auto it = followed_.find(group);
  return it == followed_.end() ? TablePtr{} : it->second;
}

}  // namespace gorsemount::coordinator

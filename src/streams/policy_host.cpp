#include "streams/policy_host.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace gorsemount::streams {

namespace {

// How long an unlisted backend that is in no table is kept, for reports still in transit.
const Span kUnlistedRetention = Span::seconds(30);

// A change of weights on a proxy's stream applies to the table that it brought, until a whole one is sent.
Settings with_host_abilities(Settings settings) {
  settings.can_edit_unordered_tables = true;
  return settings;
}

}  // namespace

PolicyHost::PolicyHost(Settings settings, IdNames names, std::uint64_t seed, Instant unix_epoch,
                       ReportBatching batching)
    : policy_{with_host_abilities(settings), seed},
      names_{std::move(names)},
      proxy_count_{settings.proxies},
      removal_is_binding_{settings.removal_binds},
      unix_epoch_{unix_epoch},
      batching_{batching},
      tables_{names_.operations, [this](BackendId id) { return backend_name(id); }} {
  for (std::size_t k = 0; k < settings.operations.size(); ++k)
    if (settings.operations[k].zone_bound)
      zone_bound_operations_.push_back(OperationId{static_cast<std::uint8_t>(k)});
}

std::string_view PolicyHost::backend_name(BackendId id) const {
  const auto backend = backends_.find(id);
  return backend == backends_.end() ? std::string_view{} : backend->second.name;
}

BackendId PolicyHost::id_for(const std::string& name) {
  const auto [it, inserted] = backend_ids_.try_emplace(name);
  if (inserted) {
    it->second = BackendId{++last_id_};
    backends_[it->second].name = name;
  }
  return it->second;
}

std::optional<ZoneId> PolicyHost::find_zone(const std::string& name) const {
  const auto it = std::find(names_.zones.begin(), names_.zones.end(), name);
  if (it == names_.zones.end()) return {};
  return ZoneId{static_cast<std::uint16_t>(it - names_.zones.begin())};
}

void PolicyHost::mark_unlisted(BackendId id) {
  Backend& backend = backends_.at(id);
  if (!backend.unlisted_since) backend.unlisted_since = now_;
  backend.availability = Availability::gone;
}

std::size_t PolicyHost::handle_list(const discovery::BackendList& list, bool remembered) {
  BackendListUpdate event;
  event.scope = remembered ? ListScope::cached : list.full ? ListScope::full : ListScope::delta;
  std::size_t skipped = 0;
  std::set<BackendId> missing;
  if (event.scope != ListScope::delta)
    for (const auto& [id, backend] : backends_) missing.insert(id);
  for (const auto& row : list.rows) {
    if (row.health == discovery::Health::gone) {
      const auto known = backend_ids_.find(row.host);
      if (known == backend_ids_.end()) continue;
      missing.erase(known->second);
      mark_unlisted(known->second);
      event.entries.push_back({known->second, {}, Availability::gone, 1, {}});
      continue;
    }
    const auto zone_id = find_zone(row.zone);
    if (!zone_id) {
      ++skipped;
      continue;
    }
    const BackendId id = id_for(row.host);
    missing.erase(id);
    Backend& backend = backends_.at(id);
    backend.zone = *zone_id, backend.unlisted_since.reset();
    backend.availability =
        row.health == discovery::Health::ready ? Availability::ready : Availability::draining;
    BackendListUpdate::Entry entry{id, *zone_id, backend.availability, row.weight, {}};
    if (row.started_ms != 0) entry.started = unix_epoch_ + Span::micros(row.started_ms * 1000);
    event.entries.push_back(entry);
  }
  for (const auto id : missing) mark_unlisted(id);
  forget_unlisted();
  pending_events_.emplace_back(std::move(event));
  return skipped;
}

PolicyHost::JoinResult PolicyHost::join(StreamId stream, const ProxyJoin& message) {
  const auto zone_id = find_zone(message.zone);
  if (!zone_id) return {"no such zone", {}};
  if (message.proxy >= proxy_count_) return {"no such proxy", {}};
  if (proxy_by_stream_.contains(stream)) return {"joined already", {}};
  JoinResult result;
  const ProxyId proxy{message.proxy};
  if (const auto before = stream_by_proxy_.find(proxy); before != stream_by_proxy_.end()) {
    result.replaced_stream = before->second;
    leave(before->second);
  }
  proxy_by_stream_[stream] = proxy, stream_by_proxy_[proxy] = stream;
  zone_by_proxy_[proxy] = *zone_id;
  pending_events_.emplace_back(ProxyJoined{proxy, *zone_id, message.usual_rate});
  return result;
}

void PolicyHost::leave(StreamId stream) {
  const auto it = proxy_by_stream_.find(stream);
  if (it == proxy_by_stream_.end()) return;  // replaced by a newer stream
  const ProxyId proxy = it->second;
  proxy_by_stream_.erase(it);
  stream_by_proxy_.erase(proxy);
  zone_by_proxy_.erase(proxy);
  tables_.remove_proxy(proxy);
  pending_events_.emplace_back(ProxyLeft{proxy});
}

void PolicyHost::queue_report(Instant now, Event report) {
  if (queued_reports_.empty()) first_report_at_ = now;
  last_report_at_ = now;
  queued_reports_.push_back(std::move(report));
}

std::optional<Instant> PolicyHost::reports_due() const {
  if (queued_reports_.empty()) return {};
  return std::min(last_report_at_ + batching_.quiet_period, first_report_at_ + batching_.max_delay);
}

const char* PolicyHost::handle_report(Instant now, std::optional<StreamId> from, const Message& message) {
  const auto check_proxy = [&](std::uint16_t proxy) -> const char* {
    if (from) return proxy_by_stream_.at(*from).value == proxy ? nullptr : "about another proxy";
    return stream_by_proxy_.contains(ProxyId{proxy}) ? nullptr : "about a proxy that has not joined";
  };
  if (const auto* observed = std::get_if<BackendStats>(&message)) {
    const auto zone_id = find_zone(observed->zone);
    if (!zone_id) return "no such zone";
    if (from) return "accepted from collectors only";
    const auto id = backend_ids_.find(observed->host);
    if (id == backend_ids_.end()) return "no such backend";
    queue_report(now, BackendReport{*zone_id, id->second, observed->tries, observed->errored,
                                    observed->mean_latency, observed->window, observed->cpu_utilization});
    auto& zone = zone_stats_[backends_.at(id->second).zone];
    zone.tries += observed->tries, zone.errored += observed->errored;
    zone.latency_seconds += (observed->tries - observed->errored) * observed->mean_latency.seconds();
    if (observed->cpu_utilization) zone.cpu_sum += *observed->cpu_utilization, ++zone.cpu_samples;
    if (observed->errored > 0 || error_counts_.contains(id->second))
      error_counts_[id->second].first += observed->errored,
          error_counts_[id->second].second += observed->tries;
    return nullptr;
  }
  if (const auto* usage = std::get_if<ProxyUsage>(&message)) {
    const auto& operations = names_.operations;
    const auto it = std::find(operations.begin(), operations.end(), usage->operation);
    if (it == operations.end()) return "no such operation";
    if (const char* reason = check_proxy(usage->proxy)) return reason;
    queue_report(now, DemandReport{ProxyId{usage->proxy},
                                   OperationId{static_cast<std::uint8_t>(it - operations.begin())},
                                   usage->arrived, usage->window});
    return nullptr;
  }
  if (const auto* applied = std::get_if<UpdateApplied>(&message))
    return check_proxy(applied->proxy);  // updates carry no version, so there is nothing to match
  return "not a report";
}

PolicyHost::Effects PolicyHost::step(Instant now) {
  now_ = now;
  for (auto it = timers_.begin(); it != timers_.end() && it->first <= now; it = timers_.erase(it))
    pending_events_.emplace_back(TimerFired{it->second});
  if (const auto due = reports_due(); due && *due <= now) {
    pending_events_.insert(pending_events_.end(), queued_reports_.begin(), queued_reports_.end());
    queued_reports_.clear();
  }
  Effects effects;
  if (pending_events_.empty()) return effects;
  const auto events = std::exchange(pending_events_, {});
  const auto orders = policy_.handle(now, events);
  for (const auto& order : orders) {
    if (std::holds_alternative<SubscribeToList>(order)) effects.subscribe = true;
    if (const auto* wake = std::get_if<SetTimer>(&order)) timers_.emplace(now + wake->after, wake->tag);
  }
  for (auto& sent : tables_.apply(orders))
    if (const auto stream = stream_by_proxy_.find(sent.proxy); stream != stream_by_proxy_.end())
      effects.sends.push_back({stream->second, std::move(sent.message)});
  return effects;
}

std::optional<Instant> PolicyHost::next_wake() const {
  const auto due = reports_due();
  if (timers_.empty()) return due;
  return due ? std::min(*due, timers_.begin()->first) : timers_.begin()->first;
}

// Bounds the number of known backends, which otherwise grows with each list. If removal from the list is not
// binding, the module may route again to an unlisted backend that is in no table, so all names are kept.
void PolicyHost::forget_unlisted() {
  if (!removal_is_binding_) return;
  for (auto it = backends_.begin(); it != backends_.end();) {
    const bool expired = it->second.unlisted_since &&
                         now_ - *it->second.unlisted_since > kUnlistedRetention &&
                         !tables_.contains(it->first);
    if (expired) backend_ids_.erase(it->second.name);
    it = expired ? backends_.erase(it) : std::next(it);
  }
}

PolicyHost::Stats PolicyHost::take_stats() {
  Stats stats;
  for (const auto& [zone, observed] : std::exchange(zone_stats_, {}))
    stats.zones[names_.zones.at(zone.value)] = observed;
  stats.joined_proxies = proxy_by_stream_.size(), stats.known_backends = backends_.size();
  for (const auto& [id, backend] : backends_) {
    stats.ready += backend.availability == Availability::ready ? 1 : 0;
    stats.draining += backend.availability == Availability::draining ? 1 : 0;
  }
  const auto append = [](std::string& text, const std::string& what) {
    text += (text.empty() ? "" : " ") + what;
  };
  const auto share = [](const PolicySnapshot::ShareState& share_state) {
    return ":" + std::to_string(static_cast<int>(std::lround(100 * share_state.share))) +
           (share_state.failed_trials > 0 ? "r" + std::to_string(share_state.failed_trials) : "");
  };
  const auto name = [this](ZoneId zone) { return names_.zones.at(zone.value); };
  const PolicySnapshot memory = policy_.snapshot(now_);
  for (const auto& [zone, share_state] : memory.zones) append(stats.reduced, name(zone) + share(share_state));
  for (const auto& [link, share_state] : memory.links)
    append(stats.reduced, name(link.first) + ">" + name(link.second) + share(share_state));
  for (const auto& [id, share_state] : memory.backends)
    if (const auto it = backends_.find(id); it != backends_.end())
      append(stats.reduced, it->second.name + share(share_state));
  for (const auto& [id, counts] : std::exchange(error_counts_, {}))
    if (const auto it = backends_.find(id); it != backends_.end())
      append(stats.failing,
             it->second.name + ":" + std::to_string(counts.first) + "/" + std::to_string(counts.second));
  for (const auto& [number, table] : tables_.all()) {
    stats.table_entries += table.weights.size();
    if (!stats.levels.empty()) continue;
    for (const auto& [operation, level] : table.levels)
      stats.levels += (stats.levels.empty() ? "" : " ") + names_.operations.at(operation.value) + ":" +
                      std::to_string(level.level) + "/" + std::to_string(static_cast<int>(level.tries));
  }
  stats.without_zone_line = zones_without_line();
  const auto channel = policy_.channel_estimate(now_);
  stats.channel_backlog = channel.backlog;
  stats.channel_written = channel.written;
  return stats;
}

std::string PolicyHost::zones_without_line() const {
  if (zone_bound_operations_.empty()) return {};
  std::map<ZoneId, std::size_t> proxies_by_zone;
  for (const auto& [proxy, bindings] : tables_.bindings())
    for (const auto& binding : bindings) {
      if (binding.operations != zone_bound_operations_) continue;
      const auto table = tables_.all().find(binding.table);
      if (table == tables_.all().end() || table->second.weights.empty())
        ++proxies_by_zone[zone_by_proxy_.at(proxy)];
    }
  std::string text;
  for (const auto& [zone, proxies] : proxies_by_zone)
    text += (text.empty() ? "" : " ") + names_.zones.at(zone.value) + ":" + std::to_string(proxies);
  return text;
}

}  // namespace gorsemount::streams

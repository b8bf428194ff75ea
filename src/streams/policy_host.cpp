#include "streams/policy_host.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace gorsemount::streams {

namespace {

// A backend that is in no list and no table is remembered this long, for reports that were on their way.
const Span kForget = Span::seconds(30);

}  // namespace

PolicyHost::PolicyHost(Settings settings, IdNames labels, std::uint64_t seed, Instant unix_zero,
                       Gather gather)
    : policy_{settings, seed},
      labels_{std::move(labels)},
      proxies_{settings.proxies},
      forgets_{settings.removal_binds},
      unix_zero_{unix_zero},
      gather_{gather},
      tables_{labels_.operations,
              [this](BackendId id) -> std::string_view { return backends_.at(id).name; }} {}

BackendId PolicyHost::id_of(const std::string& name) {
  const auto [it, fresh] = ids_.try_emplace(name);
  if (fresh) {
    it->second = BackendId{++last_id_};
    backends_[it->second].name = name;
  }
  return it->second;
}

std::optional<ZoneId> PolicyHost::find_zone(const std::string& name) const {
  const auto it = std::find(labels_.zones.begin(), labels_.zones.end(), name);
  if (it == labels_.zones.end()) return {};
  return ZoneId{static_cast<std::uint16_t>(it - labels_.zones.begin())};
}

void PolicyHost::unlist(BackendId id) {
  Backend& b = backends_.at(id);
  if (!b.unlisted) b.unlisted = now_;
  b.availability = Availability::gone;
}

std::size_t PolicyHost::handle_list(const discovery::BackendList& listing, bool remembered) {
  Listed event;
  event.scope = remembered ? ListScope::remembered : listing.whole ? ListScope::whole : ListScope::changes;
  std::size_t skipped = 0;
  std::set<BackendId> missing;
  if (event.scope != ListScope::changes)
    for (const auto& [id, b] : backends_) missing.insert(id);
  for (const auto& row : listing.rows) {
    if (row.health == discovery::Health::gone) {
      const auto known = ids_.find(row.host);
      if (known == ids_.end()) continue;
      missing.erase(known->second);
      unlist(known->second);
      event.entries.push_back({known->second, {}, Availability::gone, 1, {}});
      continue;
    }
    const auto where = find_zone(row.zone);
    if (!where) {
      ++skipped;
      continue;
    }
    const BackendId id = id_of(row.host);
    missing.erase(id);
    Backend& b = backends_.at(id);
    b.zone = *where, b.unlisted.reset();
    b.availability = row.health == discovery::Health::ready ? Availability::ready : Availability::draining;
    Listed::Entry entry{id, *where, b.availability, row.weight, {}};
    if (row.started_ms != 0) entry.started = unix_zero_ + Span::micros(row.started_ms * 1000);
    event.entries.push_back(entry);
  }
  for (const auto id : missing) unlist(id);
  forget();
  pending_.emplace_back(std::move(event));
  return skipped;
}

PolicyHost::JoinResult PolicyHost::join(StreamId stream, const ProxyJoin& m) {
  const auto where = find_zone(m.zone);
  if (!where) return {"no such zone", {}};
  if (m.proxy >= proxies_) return {"no such proxy", {}};
  if (streams_.contains(stream)) return {"joined already", {}};
  JoinResult result;
  const ProxyId proxy{m.proxy};
  if (const auto before = proxies_on_.find(proxy); before != proxies_on_.end()) {
    result.succeeds = before->second;
    leave(before->second);
  }
  streams_[stream] = proxy, proxies_on_[proxy] = stream;
  pending_.emplace_back(ProxyJoined{proxy, *where, m.usual_rate});
  return result;
}

void PolicyHost::leave(StreamId stream) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) return;  // one that another has succeeded
  const ProxyId proxy = it->second;
  streams_.erase(it);
  proxies_on_.erase(proxy);
  tables_.left(proxy);
  pending_.emplace_back(ProxyLeft{proxy});
}

void PolicyHost::gather(Instant now, Event report) {
  if (reports_.empty()) first_report_ = now;
  last_report_ = now;
  reports_.push_back(std::move(report));
}

std::optional<Instant> PolicyHost::ripe() const {
  if (reports_.empty()) return {};
  return std::min(last_report_ + gather_.quiet, first_report_ + gather_.most);
}

const char* PolicyHost::handle_report(Instant now, std::optional<StreamId> from, const Message& message) {
  const auto stands_for = [&](std::uint16_t proxy) -> const char* {
    if (from) return streams_.at(*from).value == proxy ? nullptr : "another proxy's";
    return proxies_on_.contains(ProxyId{proxy}) ? nullptr : "of a proxy that has not joined";
  };
  if (const auto* heard = std::get_if<Heard>(&message)) {
    const auto where = find_zone(heard->zone);
    if (!where) return "no such zone";
    if (from) return "not a stream's to tell";
    const auto id = ids_.find(heard->host);
    if (id == ids_.end()) return "no such backend";
    gather(now, BackendReport{*where, id->second, heard->tries, heard->errored, heard->mean_latency,
                              heard->over, heard->busy});
    auto& zone = heard_[backends_.at(id->second).zone];
    zone.tries += heard->tries, zone.errored += heard->errored;
    zone.latency_seconds += (heard->tries - heard->errored) * heard->mean_latency.seconds();
    if (heard->busy) zone.cpu_sum += *heard->busy, ++zone.cpu_samples;
    if (heard->errored > 0 || errored_.contains(id->second))
      errored_[id->second].first += heard->errored, errored_[id->second].second += heard->tries;
    return nullptr;
  }
  if (const auto* usage = std::get_if<Usage>(&message)) {
    const auto& names = labels_.operations;
    const auto it = std::find(names.begin(), names.end(), usage->operation);
    if (it == names.end()) return "no such operation";
    if (const char* why = stands_for(usage->proxy)) return why;
    gather(now,
           DemandReport{ProxyId{usage->proxy}, OperationId{static_cast<std::uint8_t>(it - names.begin())},
                        usage->arrived, usage->over});
    return nullptr;
  }
  if (const auto* applied = std::get_if<Applied>(&message))
    return stands_for(applied->proxy);  // the module sends no marks
  return "not known here";
}

PolicyHost::Effects PolicyHost::step(Instant now) {
  now_ = now;
  for (auto it = timers_.begin(); it != timers_.end() && it->first <= now; it = timers_.erase(it))
    pending_.emplace_back(TimerFired{it->second});
  if (const auto when = ripe(); when && *when <= now) {
    pending_.insert(pending_.end(), reports_.begin(), reports_.end());
    reports_.clear();
  }
  Effects effects;
  if (pending_.empty()) return effects;
  const auto events = std::exchange(pending_, {});
  const auto orders = policy_.handle(now, events);
  for (const auto& order : orders) {
    if (std::holds_alternative<FollowList>(order)) effects.subscribe = true;
    if (const auto* wake = std::get_if<WakeMe>(&order)) timers_.emplace(now + wake->after, wake->tag);
  }
  for (auto& sent : tables_.carry_out(orders))
    if (const auto on = proxies_on_.find(sent.proxy); on != proxies_on_.end())
      effects.sends.push_back({on->second, std::move(sent.message)});
  return effects;
}

std::optional<Instant> PolicyHost::next_wake() const {
  const auto when = ripe();
  if (timers_.empty()) return when;
  return when ? std::min(*when, timers_.begin()->first) : timers_.begin()->first;
}

// Names grow by lists alone. Where the loss from a list does not bind, the module may come back to a backend
// that it has in no table at the time, and its name must stand.
void PolicyHost::forget() {
  if (!forgets_) return;
  for (auto it = backends_.begin(); it != backends_.end();) {
    const bool old =
        it->second.unlisted && now_ - *it->second.unlisted > kForget && !tables_.holds(it->first);
    if (old) ids_.erase(it->second.name);
    it = old ? backends_.erase(it) : std::next(it);
  }
}

PolicyHost::Stats PolicyHost::take_stats() {
  Stats b;
  for (const auto& [zone, heard] : std::exchange(heard_, {})) b.zones[labels_.zones.at(zone.value)] = heard;
  b.joined_proxies = streams_.size(), b.known_backends = backends_.size();
  for (const auto& [id, backend] : backends_) {
    b.ready += backend.availability == Availability::ready ? 1 : 0;
    b.draining += backend.availability == Availability::draining ? 1 : 0;
  }
  const auto append = [](std::string& text, const std::string& what) {
    text += (text.empty() ? "" : " ") + what;
  };
  const auto share = [](const Memory::Rung& r) {
    return ":" + std::to_string(static_cast<int>(std::lround(100 * r.share))) +
           (r.relapses > 0 ? "r" + std::to_string(r.relapses) : "");
  };
  const auto name = [this](ZoneId zone) { return labels_.zones.at(zone.value); };
  const Memory memory = policy_.remember(now_);
  for (const auto& [zone, rung] : memory.zones) append(b.reduced, name(zone) + share(rung));
  for (const auto& [link, rung] : memory.links)
    append(b.reduced, name(link.first) + ">" + name(link.second) + share(rung));
  for (const auto& [id, rung] : memory.backends)
    if (const auto it = backends_.find(id); it != backends_.end())
      append(b.reduced, it->second.name + share(rung));
  for (const auto& [id, counts] : std::exchange(errored_, {}))
    if (const auto it = backends_.find(id); it != backends_.end())
      append(b.failing,
             it->second.name + ":" + std::to_string(counts.first) + "/" + std::to_string(counts.second));
  for (const auto& [number, table] : tables_.all()) {
    b.table_entries += table.lines.size();
    if (!b.levels.empty()) continue;
    for (const auto& [operation, level] : table.levels)
      b.levels += (b.levels.empty() ? "" : " ") + labels_.operations.at(operation.value) + ":" +
                  std::to_string(level.level) + "/" + std::to_string(static_cast<int>(level.tries));
  }
  return b;
}

}  // namespace gorsemount::streams

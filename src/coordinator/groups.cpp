#include "coordinator/groups.hpp"

#include <algorithm>

namespace gorsemount::coordinator {

namespace {

constexpr std::size_t kRates = 16;  // rounds: some seconds, so that one burst is not the usual

ProxyId id_at(std::size_t place) { return ProxyId{static_cast<std::uint16_t>(place)}; }

}  // namespace

GroupMap::GroupMap(const Settings& settings)
    : trusted_{settings.trusted_resolvers}, rest_{id_at(settings.groups.size() - 1)} {
  for (std::size_t k = 0; k < settings.groups.size(); ++k)
    for (const auto& prefix : settings.groups[k].sources)
      by_length_[prefix.length + (prefix.address.v6 ? 1000 : 0)].emplace(prefix.address, id_at(k));
  for (const auto& forwarder : settings.forwarders)
    for (const auto& prefix : forwarder.sources)
      by_length_[prefix.length + (prefix.address.v6 ? 1000 : 0)].insert_or_assign(prefix.address, kForwarded);
}

ProxyId GroupMap::group_of(const Address& source) const {
  for (const auto& [key, prefixes] : by_length_) {
    if ((key >= 1000) != source.v6) continue;
    const auto it = prefixes.find(masked(source, key % 1000));
    if (it != prefixes.end()) return it->second;
  }
  return rest_;
}

bool GroupMap::trusts(const Address& resolver) const {
  return std::any_of(trusted_.begin(), trusted_.end(), [&](const Prefix& p) { return p.covers(resolver); });
}

std::vector<Event> ProxyPresence::looked_up(Instant now, ProxyId group) {
  const bool fresh = seen_.insert_or_assign(group, now).second;
  if (!fresh) return {};
  return {ProxyJoined{group, s_->groups[group.value].zone, usual_rate(group)}};
}

std::vector<Event> ProxyPresence::joined(Instant now, ProxyId forwarder) {
  const std::size_t place = forwarder.value - kFirstForwarderId;
  if (place >= s_->forwarders.size() || !seen_.insert_or_assign(forwarder, now).second) return {};
  return {ProxyJoined{forwarder, s_->forwarders[place].zone, usual_rate(forwarder)}};
}

std::vector<Event> ProxyPresence::left(ProxyId forwarder) {
  if (seen_.erase(forwarder) == 0) return {};
  return {ProxyLeft{forwarder}};
}

std::vector<Event> ProxyPresence::leave_idle(Instant now) {
  std::vector<Event> events;
  std::erase_if(seen_, [&](const auto& row) {
    if (is_forwarder(row.first) || now - row.second < s_->group_idle) return false;
    events.emplace_back(ProxyLeft{row.first});
    return true;
  });
  return events;
}

void ProxyPresence::arrived(const std::vector<Event>& reports) {
  std::map<ProxyId, double> now;
  for (const auto& event : reports)
    if (const auto* d = std::get_if<DemandReport>(&event); d != nullptr && d->interval > Span{})
      now[d->proxy] += d->arrived / d->interval.seconds();
  for (const auto& [group, rate] : now) {
    auto& log = rates_[group];
    log.push_back(rate);
    if (log.size() > kRates) log.pop_front();
  }
}

double ProxyPresence::usual_rate(ProxyId group) const {
  const auto it = rates_.find(group);
  if (it == rates_.end())
    return is_forwarder(group) ? s_->forwarders[group.value - kFirstForwarderId].usual_rate
                               : s_->groups[group.value].usual_rate;
  std::vector<double> sorted{it->second.begin(), it->second.end()};
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

}  // namespace gorsemount::coordinator

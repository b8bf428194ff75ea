#include "coordinator/groups.hpp"

#include <algorithm>

namespace gorsemount::coordinator {

namespace {

// report rounds: a few seconds, so that a single burst does not set the median
constexpr std::size_t kRateSamples = 16;

ProxyId proxy_id_at(std::size_t index) { return ProxyId{static_cast<std::uint16_t>(index)}; }

}  // namespace

GroupMap::GroupMap(const Settings& settings)
    : trusted_resolvers_{settings.trusted_resolvers},
      default_group_{proxy_id_at(settings.groups.size() - 1)} {
  for (std::size_t k = 0; k < settings.groups.size(); ++k)
    for (const auto& prefix : settings.groups[k].sources)
      prefixes_by_length_[prefix.length + (prefix.address.v6 ? 1000 : 0)].emplace(prefix.address,
                                                                                  proxy_id_at(k));
  for (const auto& forwarder : settings.forwarders)
    for (const auto& prefix : forwarder.sources)
      prefixes_by_length_[prefix.length + (prefix.address.v6 ? 1000 : 0)].insert_or_assign(prefix.address,
                                                                                           kForwarded);
}

ProxyId GroupMap::group_of(const Address& source) const {
  for (const auto& [key, prefixes] : prefixes_by_length_) {
    if ((key >= 1000) != source.v6) continue;
    const auto it = prefixes.find(masked(source, key % 1000));
    if (it != prefixes.end()) return it->second;
  }
  return default_group_;
}

bool GroupMap::trusts(const Address& resolver) const {
  return std::any_of(trusted_resolvers_.begin(), trusted_resolvers_.end(),
                     [&](const Prefix& p) { return p.covers(resolver); });
}

std::vector<Event> ProxyPresence::on_lookup(Instant now, ProxyId group) {
  const bool fresh = last_seen_.insert_or_assign(group, now).second;
  if (!fresh) return {};
  return {ProxyJoined{group, settings_->groups[group.value].zone, usual_rate(group)}};
}

std::vector<Event> ProxyPresence::on_forwarder_joined(Instant now, ProxyId forwarder) {
  const std::size_t index = forwarder.value - kFirstForwarderId;
  if (index >= settings_->forwarders.size() || !last_seen_.insert_or_assign(forwarder, now).second) return {};
  return {ProxyJoined{forwarder, settings_->forwarders[index].zone, usual_rate(forwarder)}};
}

std::vector<Event> ProxyPresence::on_left(ProxyId forwarder) {
  if (last_seen_.erase(forwarder) == 0) return {};
  return {ProxyLeft{forwarder}};
}

std::vector<Event> ProxyPresence::remove_idle(Instant now) {
  std::vector<Event> events;
  std::erase_if(last_seen_, [&](const auto& row) {
    if (is_forwarder(row.first) || now - row.second < settings_->group_idle) return false;
    events.emplace_back(ProxyLeft{row.first});
    return true;
  });
  return events;
}

void ProxyPresence::record_arrivals(const std::vector<Event>& reports) {
  std::map<ProxyId, double> rates;
  for (const auto& event : reports)
    if (const auto* d = std::get_if<DemandReport>(&event); d != nullptr && d->interval > Span{})
      rates[d->proxy] += d->arrived / d->interval.seconds();
  for (const auto& [group, rate] : rates) {
    auto& samples = measured_rates_[group];
    samples.push_back(rate);
    if (samples.size() > kRateSamples) samples.pop_front();
  }
}

double ProxyPresence::usual_rate(ProxyId group) const {
  const auto it = measured_rates_.find(group);
  if (it == measured_rates_.end())
    return is_forwarder(group) ? settings_->forwarders[group.value - kFirstForwarderId].usual_rate
                               : settings_->groups[group.value].usual_rate;
  std::vector<double> sorted{it->second.begin(), it->second.end()};
  const auto median = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), median, sorted.end());
  return *median;
}

}  // namespace gorsemount::coordinator

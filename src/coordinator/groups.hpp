// Client groups: maps a source address to its group, and tracks which groups and forwarders are in service
// and their usual request rates.
#pragma once

#include <deque>
#include <map>

#include "coordinator/types.hpp"

namespace gorsemount::coordinator {

// Maps a source address to its group by longest prefix match. Immutable.
class GroupMap {
 public:
  explicit GroupMap(const Settings& settings);
  // kForwarded: an address of a forwarder, which reports its own demand.
  [[nodiscard]] ProxyId group_of(const Address& source) const;
  static constexpr ProxyId kForwarded{65535};
  // Whether the client subnet sent by this resolver (RFC 7871) may be used. Others could claim any group.
  [[nodiscard]] bool trusts(const Address& resolver) const;

 private:
  std::map<unsigned, std::map<Address, ProxyId>, std::greater<>> prefixes_by_length_;
  std::vector<Prefix> trusted_resolvers_;
  ProxyId default_group_;
};

// A group is in service from its first lookup until there have been no lookups for group_idle.
class ProxyPresence {
 public:
  explicit ProxyPresence(const Settings& settings) : settings_{&settings} {}
  [[nodiscard]] std::vector<Event> on_lookup(Instant now, ProxyId group);
  // The forwarder's control stream was opened or lost.
  [[nodiscard]] std::vector<Event> on_forwarder_joined(Instant now, ProxyId forwarder);
  [[nodiscard]] std::vector<Event> on_left(ProxyId forwarder);
  [[nodiscard]] std::vector<Event> remove_idle(Instant now);
  void record_arrivals(const std::vector<Event>& reports);  // the demand reports of one round
  [[nodiscard]] const std::map<ProxyId, Instant>& present() const { return last_seen_; }
  [[nodiscard]] double usual_rate(ProxyId group) const;
  // Restores a rate from an earlier run; ignored once a rate has been measured.
  void restore_rate(ProxyId proxy, double rate) {
    if (auto& samples = measured_rates_[proxy]; samples.empty()) samples.push_back(rate);
  }

 private:
  const Settings* settings_;
  std::map<ProxyId, Instant> last_seen_;  // time of the last lookup or join
  std::map<ProxyId, std::deque<double>> measured_rates_;
};

}  // namespace gorsemount::coordinator

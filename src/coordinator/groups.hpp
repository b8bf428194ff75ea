// Decides whose clients ask: which group a source belongs to, when a group is in service, and its usual rate.
#pragma once

#include <deque>
#include <map>

#include "coordinator/types.hpp"

namespace gorsemount::coordinator {

// From a source to its group, by the longest prefix. Immutable once made.
class GroupMap {
 public:
  explicit GroupMap(const Settings& settings);
  // kForwarded: a forwarder's own address, which reports for itself.
  [[nodiscard]] ProxyId group_of(const Address& source) const;
  static constexpr ProxyId kForwarded{65535};
  // Whether a resolver's word on its client's subnet counts; anyone else's could point at any group.
  [[nodiscard]] bool trusts(const Address& resolver) const;

 private:
  std::map<unsigned, std::map<Address, ProxyId>, std::greater<>> by_length_;
  std::vector<Prefix> trusted_;
  ProxyId rest_;
};

// A group is in service from its first lookup until none came for a stated time.
class ProxyPresence {
 public:
  explicit ProxyPresence(const Settings& settings) : s_{&settings} {}
  [[nodiscard]] std::vector<Event> looked_up(Instant now, ProxyId group);
  // Of a forwarder: its stream stands, or broke.
  [[nodiscard]] std::vector<Event> joined(Instant now, ProxyId forwarder);
  [[nodiscard]] std::vector<Event> left(ProxyId forwarder);
  [[nodiscard]] std::vector<Event> leave_idle(Instant now);
  void arrived(const std::vector<Event>& reports);  // the demand reports of one round
  [[nodiscard]] const std::map<ProxyId, Instant>& present() const { return seen_; }
  [[nodiscard]] double usual_rate(ProxyId group) const;
  // From an earlier life; what was measured since counts for more.
  void recall(ProxyId proxy, double rate) {
    if (auto& log = rates_[proxy]; log.empty()) log.push_back(rate);
  }

 private:
  const Settings* s_;
  std::map<ProxyId, Instant> seen_;  // the last lookup
  std::map<ProxyId, std::deque<double>> rates_;
};

}  // namespace gorsemount::coordinator

// One controller's part in a shared fleet, between its core and its cluster: what it newly leads or leads no
// more, what it takes over then, what it tells the others and what it hears of them. Free of I/O and clock;
// the program and the virtual clock use it alike.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cluster/cluster.hpp"
#include "coordinator/coordinator.hpp"

namespace gorsemount::shared_fleet {

struct ClusterUpdate {
  std::vector<coordinator::Input> inputs;  // for the core, in this order
  // Forwarders whose leading changed: a term to lead under, or none.
  struct Lead {
    ProxyId forwarder;
    std::optional<cluster::Term> now, before;
  };
  std::vector<Lead> lead_changes;
  std::size_t recalled = 0;  // facts that the core is to take over
};

class ClusterAdapter {
 public:
  explicit ClusterAdapter(cluster::Cluster& cluster) : cluster_{&cluster} {}

  [[nodiscard]] cluster::ShardId shard_of(ProxyId proxy, const coordinator::Settings& settings) const;
  // After whatever may have changed who leads.
  [[nodiscard]] ClusterUpdate poll_leadership(Instant now, const coordinator::Settings& settings);
  // A few times a second: tells and hears. `changed` facts are to be sent: tick the cluster.
  [[nodiscard]] ClusterUpdate exchange_facts(Instant now, const coordinator::Coordinator& core,
                                             bool& changed);
  // Groups were renamed or moved: all are looked at anew.
  void reset_groups() { groups_.clear(); }
  [[nodiscard]] const std::map<ProxyId, std::optional<cluster::Term>>& forwarder_terms() const {
    return led_;
  }

 private:
  void recall(Instant now, ClusterUpdate& turn);

  cluster::Cluster* cluster_;
  std::map<ProxyId, std::optional<cluster::Term>> led_;
  std::map<ProxyId, bool> groups_;
};

}  // namespace gorsemount::shared_fleet

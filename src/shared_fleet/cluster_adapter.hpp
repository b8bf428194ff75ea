// Connects a coordinator's core to its cluster: passes on changes of leadership with the facts to take over,
// and exchanges facts with the other members. No I/O, no clock: both the program and the simulation use it.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cluster/cluster.hpp"
#include "coordinator/coordinator.hpp"

namespace gorsemount::shared_fleet {

struct ClusterUpdate {
  std::vector<coordinator::Input> inputs;  // for the core, in this order
  // A forwarder whose term changed; without a term this coordinator doesn't lead it.
  struct LeadChange {
    ProxyId forwarder;
    std::optional<cluster::Term> now, before;
  };
  std::vector<LeadChange> lead_changes;
  std::size_t recalled = 0;  // facts of other members among the inputs of a takeover
};

class ClusterAdapter {
 public:
  explicit ClusterAdapter(cluster::Cluster& cluster) : cluster_{&cluster} {}

  [[nodiscard]] cluster::ShardId shard_of(ProxyId proxy, const coordinator::Settings& settings) const;
  // To be called after anything that may have changed leadership.
  [[nodiscard]] ClusterUpdate poll_leadership(Instant now, const coordinator::Settings& settings);
  // To be called a few times a second: updates the replicated facts and returns what others replicated. Sets
  // `changed` if there are facts to send, for which the caller ticks the cluster.
  [[nodiscard]] ClusterUpdate exchange_facts(Instant now, const coordinator::Coordinator& core,
                                             bool& changed);
  // Reports the leadership of every group again, after groups were renamed or moved.
  void reset_groups() { led_groups_.clear(); }
  [[nodiscard]] const std::map<ProxyId, std::optional<cluster::Term>>& forwarder_terms() const {
    return terms_;
  }

 private:
  void add_recalled_facts(Instant now, ClusterUpdate& update);

  cluster::Cluster* cluster_;
  std::map<ProxyId, std::optional<cluster::Term>> terms_;
  std::map<ProxyId, bool> led_groups_;
};

}  // namespace gorsemount::shared_fleet

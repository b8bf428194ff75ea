#include "shared_fleet/cluster_adapter.hpp"

#include <utility>

#include "recovery/fact_confidence.hpp"

namespace gorsemount::shared_fleet {

using coordinator::is_forwarder;
using coordinator::kFirstForwarderId;

cluster::ShardId ClusterAdapter::shard_of(ProxyId proxy, const coordinator::Settings& settings) const {
  return cluster_->shard_of(is_forwarder(proxy) ? settings.forwarders[proxy.value - kFirstForwarderId].name
                                                : settings.groups[proxy.value].name);
}

// Adds the facts of the other members, once per update and ahead of the inputs that take something over.
void ClusterAdapter::add_recalled_facts(Instant now, ClusterUpdate& update) {
  if (update.recalled > 0) return;
  auto facts = cluster_->replication().trusted_entries(now);
  if (facts.empty()) return;
  update.recalled = facts.size();
  update.inputs.insert(update.inputs.begin(), coordinator::FactsReceived{std::move(facts)});
}

ClusterUpdate ClusterAdapter::poll_leadership(Instant now, const coordinator::Settings& settings) {
  ClusterUpdate update;
  for (std::size_t k = 0; k < settings.groups.size(); ++k) {
    const ProxyId id{static_cast<std::uint16_t>(k)};
    const bool led_here = cluster_->held_term(shard_of(id, settings), now).has_value();
    const auto previous = led_groups_.find(id);
    if (previous != led_groups_.end() && previous->second == led_here) continue;
    led_groups_[id] = led_here;
    if (led_here) add_recalled_facts(now, update);
    update.inputs.emplace_back(coordinator::GroupLeadership{id, led_here});
  }
  for (std::size_t k = 0; k < settings.forwarders.size(); ++k) {
    const ProxyId id{static_cast<std::uint16_t>(kFirstForwarderId + k)};
    const auto term = cluster_->held_term(shard_of(id, settings), now);
    auto& previous = terms_[id];
    if (previous == term) continue;
    if (term) add_recalled_facts(now, update);
    update.lead_changes.push_back({id, term, previous});
    previous = term;
  }
  return update;
}

ClusterUpdate ClusterAdapter::exchange_facts(Instant now, const coordinator::Coordinator& core,
                                             bool& changed) {
  ClusterUpdate update;
  auto& replication = cluster_->replication();
  changed = replication.observe(now, core.facts()) > 0;
  cluster_->suspend_rebalancing(core.zone_shift_in_progress());
  std::vector<recovery::Entry> immediate;
  for (auto& entry : replication.take_received())
    if (recovery::applies_immediately(entry.subject.kind)) immediate.push_back(std::move(entry));
  if (!immediate.empty()) update.inputs.emplace_back(coordinator::FactsReceived{std::move(immediate)});
  const auto& settings = core.settings();
  for (const auto& [group, led_here] : led_groups_) {
    if (led_here || group.value >= settings.groups.size()) continue;
    const auto table = cluster::leader_table(replication.replicas(), settings.groups[group.value].name, now);
    if (!table) continue;  // without contact to a leader the current table stays in use
    coordinator::LeaderTable followed{group, true, table->weights, {}};
    for (const auto& operation : settings.operations)
      if (const auto level = table->levels.find(operation.name); level != table->levels.end())
        followed.levels.push_back(level->second);
    update.inputs.emplace_back(std::move(followed));
  }
  return update;
}

}  // namespace gorsemount::shared_fleet

#include "shared_fleet/cluster_adapter.hpp"

#include <utility>

#include "recovery/fact_confidence.hpp"

namespace gorsemount::shared_fleet {

using coordinator::is_forwarder;
using coordinator::kFirstForwarderId;

cluster::ShardId ClusterAdapter::shard_of(ProxyId proxy, const coordinator::Settings& s) const {
  return cluster_->shard_of(is_forwarder(proxy) ? s.forwarders[proxy.value - kFirstForwarderId].name
                                                : s.groups[proxy.value].name);
}

// What the others knew, once for each moment in which something is taken over, and before it is.
void ClusterAdapter::recall(Instant now, ClusterUpdate& turn) {
  if (turn.recalled > 0) return;
  auto facts = cluster_->knowledge().believed(now);
  if (facts.empty()) return;
  turn.recalled = facts.size();
  turn.inputs.insert(turn.inputs.begin(), coordinator::FactsReceived{std::move(facts)});
}

ClusterUpdate ClusterAdapter::poll_leadership(Instant now, const coordinator::Settings& s) {
  ClusterUpdate turn;
  for (std::size_t k = 0; k < s.groups.size(); ++k) {
    const ProxyId id{static_cast<std::uint16_t>(k)};
    const bool here = cluster_->held_term(shard_of(id, s), now).has_value();
    const auto was = groups_.find(id);
    if (was != groups_.end() && was->second == here) continue;
    groups_[id] = here;
    if (here) recall(now, turn);
    turn.inputs.emplace_back(coordinator::GroupLeadership{id, here});
  }
  for (std::size_t k = 0; k < s.forwarders.size(); ++k) {
    const ProxyId id{static_cast<std::uint16_t>(kFirstForwarderId + k)};
    const auto term = cluster_->held_term(shard_of(id, s), now);
    auto& was = led_[id];
    if (was == term) continue;
    if (term) recall(now, turn);
    turn.lead_changes.push_back({id, term, was});
    was = term;
  }
  return turn;
}

ClusterUpdate ClusterAdapter::exchange_facts(Instant now, const coordinator::Coordinator& core,
                                             bool& changed) {
  ClusterUpdate turn;
  auto& knowledge = cluster_->knowledge();
  changed = knowledge.observe(now, core.facts()) > 0;
  cluster_->keep(core.zone_shift_in_progress());
  std::vector<recovery::Entry> at_once;
  for (auto& entry : knowledge.take_news())
    if (recovery::applies_immediately(entry.subject.kind)) at_once.push_back(std::move(entry));
  if (!at_once.empty()) turn.inputs.emplace_back(coordinator::FactsReceived{std::move(at_once)});
  const auto& s = core.settings();
  for (const auto& [group, here] : groups_) {
    if (here || group.value >= s.groups.size()) continue;
    const auto table = cluster::table_of(knowledge.copies(), s.groups[group.value].name, now);
    if (!table) continue;  // nobody is heard: what stands, stands
    coordinator::LeaderTable followed{group, true, table->lines, {}};
    for (const auto& op : s.operations)
      if (const auto level = table->levels.find(op.name); level != table->levels.end())
        followed.levels.push_back(level->second);
    turn.inputs.emplace_back(std::move(followed));
  }
  return turn;
}

}  // namespace gorsemount::shared_fleet

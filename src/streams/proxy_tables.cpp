#include "streams/proxy_tables.hpp"

#include <algorithm>
#include <set>

namespace gorsemount::streams {

std::vector<ProxyTables::Delivery> ProxyTables::apply(const std::vector<Order>& orders) {
  std::map<TableId, Table> changed;
  std::set<ProxyId> newly_bound;
  for (const auto& order : orders) {
    if (const auto* line = std::get_if<SetWeight>(&order)) {
      auto& weights = tables_[line->table].weights;
      if (line->weight > 0) {
        weights[line->backend] = line->weight;
      } else {
        weights.erase(line->backend);
      }
      changed[line->table].weights[line->backend] = line->weight;
    } else if (const auto* level = std::get_if<SetAdmission>(&order)) {
      const Level new_level{level->retries, level->limit};
      tables_[level->table].levels[level->operation] = new_level;
      changed[level->table].levels[level->operation] = new_level;
    } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
      table_by_proxy_[bind->proxy] = bind->table;
      newly_bound.insert(bind->proxy);
    }
  }
  std::vector<Delivery> deliveries;
  if (changed.empty() && newly_bound.empty()) return deliveries;
  std::map<TableId, std::shared_ptr<const EncodedMessage>> full_updates, delta_updates;
  for (const auto& [proxy, table] : table_by_proxy_) {
    auto& encoded = newly_bound.contains(proxy) ? full_updates : delta_updates;
    if (!newly_bound.contains(proxy) && !changed.contains(table)) continue;
    auto& message = encoded[table];
    if (!message)
      message = &encoded == &full_updates ? encode(tables_[table], true) : encode(changed[table], false);
    deliveries.push_back({proxy, message});
  }
  return deliveries;
}

bool ProxyTables::contains(BackendId backend) const {
  return std::any_of(tables_.begin(), tables_.end(),
                     [&](const auto& entry) { return entry.second.weights.contains(backend); });
}

std::shared_ptr<const EncodedMessage> ProxyTables::encode(const Table& contents, bool full) const {
  Update update;
  update.full = full, update.operations = operations_.size();
  for (const auto& [backend, weight] : contents.weights)
    update.endpoints.push_back({backend_name_(backend), weight});
  for (const auto& [operation, level] : contents.levels)
    update.levels.push_back({operations_.at(operation.value), level.tries, level.level});
  return std::make_shared<const EncodedMessage>(encode_update(update));
}

}  // namespace gorsemount::streams

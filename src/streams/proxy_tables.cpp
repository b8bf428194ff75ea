#include "streams/proxy_tables.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace gorsemount::streams {

std::vector<ProxyTables::Delivery> ProxyTables::apply(const std::vector<Order>& orders) {
  std::map<TableId, Table> changed;
  std::set<std::pair<ProxyId, TableId>> newly_bound;
  Removals removals;
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
    } else if (const auto* binding = std::get_if<BindProxy>(&order)) {
      bind(*binding);
      newly_bound.emplace(binding->proxy, binding->table);
    } else if (const auto* removal = std::get_if<RemoveBackends>(&order)) {
      removals[removal->proxy] = removal->backends;
    }
  }
  std::vector<Delivery> deliveries;
  add_removals(removals, deliveries);
  if (changed.empty() && newly_bound.empty()) return deliveries;
  std::map<std::vector<TableUpdate>, std::shared_ptr<const EncodedMessage>> messages;
  std::vector<Delivery> whole_tables;
  for (const auto& [proxy, bindings] : bindings_) {
    std::vector<TableUpdate> updates;
    bool has_whole_table = false;
    for (const auto& binding : bindings) {
      const bool full = newly_bound.contains({proxy, binding.table});
      has_whole_table = has_whole_table || full;
      if (full || changed.contains(binding.table))
        updates.push_back({binding.table, full, binding.operations});
    }
    if (updates.empty()) continue;
    auto& message = messages[updates];
    if (!message) message = encode(updates, changed);
    (has_whole_table ? whole_tables : deliveries).push_back({proxy, message});
  }
  deliveries.insert(deliveries.end(), whole_tables.begin(), whole_tables.end());
  return deliveries;
}

void ProxyTables::add_removals(const Removals& removals, std::vector<Delivery>& deliveries) const {
  std::map<std::vector<BackendId>, std::shared_ptr<const EncodedMessage>> messages;
  for (const auto& [proxy, backends] : removals) {
    auto& message = messages[backends];
    if (!message) {
      Update update;
      for (const BackendId backend : backends)
        if (const auto name = backend_name_(backend); !name.empty()) update.endpoints.push_back({name, 0});
      message = std::make_shared<const EncodedMessage>(encode_updates({update}));
    }
    if (message->line_count > 0) deliveries.push_back({proxy, message});
  }
}

void ProxyTables::bind(const BindProxy& order) {
  auto& bindings = bindings_[order.proxy];
  std::erase_if(bindings, [&](const Binding& binding) {
    return order.operations.empty() || binding.operations.empty() || binding.operations == order.operations;
  });
  bindings.push_back({order.table, order.operations});
}

bool ProxyTables::contains(BackendId backend) const {
  return std::any_of(tables_.begin(), tables_.end(),
                     [&](const auto& entry) { return entry.second.weights.contains(backend); });
}

std::shared_ptr<const EncodedMessage> ProxyTables::encode(const std::vector<TableUpdate>& updates,
                                                          const std::map<TableId, Table>& changed) const {
  static const Table kEmptyTable;
  std::vector<Update> encoded;
  for (const auto& update : updates) {
    const auto& tables = update.full ? tables_ : changed;
    const auto contents = tables.find(update.table);
    encoded.push_back(to_update(update, contents == tables.end() ? kEmptyTable : contents->second));
  }
  return std::make_shared<const EncodedMessage>(encode_updates(encoded));
}

Update ProxyTables::to_update(const TableUpdate& table_update, const Table& contents) const {
  Update update;
  update.full = table_update.full;
  for (const auto operation : table_update.operations)
    update.routes.emplace_back(operations_.at(operation.value));
  update.operations = update.routes.empty() ? operations_.size() : update.routes.size();
  for (const auto& [backend, weight] : contents.weights)
    update.endpoints.push_back({backend_name_(backend), weight});
  for (const auto& [operation, level] : contents.levels)
    update.levels.push_back({operations_.at(operation.value), level.tries, level.level});
  return update;
}

}  // namespace gorsemount::streams

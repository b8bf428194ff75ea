#include "streams/proxy_tables.hpp"

#include <algorithm>
#include <set>

namespace gorsemount::streams {

std::vector<Tables::Sent> Tables::carry_out(const std::vector<Order>& orders) {
  std::map<TableId, Table> changed;
  std::set<ProxyId> fresh;
  for (const auto& order : orders) {
    if (const auto* line = std::get_if<SetLine>(&order)) {
      auto& lines = tables_[line->table].lines;
      if (line->weight > 0) {
        lines[line->backend] = line->weight;
      } else {
        lines.erase(line->backend);
      }
      changed[line->table].lines[line->backend] = line->weight;
    } else if (const auto* level = std::get_if<SetLevel>(&order)) {
      const Level value{level->tries, level->level};
      tables_[level->table].levels[level->operation] = value;
      changed[level->table].levels[level->operation] = value;
    } else if (const auto* bind = std::get_if<BindProxy>(&order)) {
      bound_[bind->proxy] = bind->table;
      fresh.insert(bind->proxy);
    }
  }
  std::vector<Sent> out;
  if (changed.empty() && fresh.empty()) return out;
  std::map<TableId, std::shared_ptr<const Written>> whole, part;
  for (const auto& [proxy, table] : bound_) {
    auto& made = fresh.contains(proxy) ? whole : part;
    if (!fresh.contains(proxy) && !changed.contains(table)) continue;
    auto& message = made[table];
    if (!message) message = &made == &whole ? write(tables_[table], true) : write(changed[table], false);
    out.push_back({proxy, message});
  }
  return out;
}

bool Tables::holds(BackendId backend) const {
  return std::any_of(tables_.begin(), tables_.end(),
                     [&](const auto& t) { return t.second.lines.contains(backend); });
}

std::shared_ptr<const Written> Tables::write(const Table& part, bool full) const {
  Update update;
  update.full = full, update.operations = operations_.size();
  for (const auto& [backend, weight] : part.lines) update.lines.push_back({name_of_(backend), weight});
  for (const auto& [operation, level] : part.levels)
    update.levels.push_back({operations_.at(operation.value), level.tries, level.level});
  return std::make_shared<const Written>(write_update(update));
}

}  // namespace gorsemount::streams

#include "forwarders/plan.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace gorsemount::forwarders {

using coordinator::DesiredLine;
using coordinator::DesiredTable;

namespace {

constexpr const char* kRetriesVariable = "retries";  // of all operations, in thousandths of first tries
constexpr int kUnlimitedRateTenths = 1'000'000'000;  // tenths per second, above any forwarder's real rate

struct PlannedLine {
  std::string worker;
  Endpoint endpoint;
  int current_weight = 0, target_weight = 0;
  bool known = false, cold = false, address_changed = false;
};

class Planner {
 public:
  Planner(const ActualTable& actual, std::string operation)
      : projected_{actual}, operation_{std::move(operation)} {}

  void append(Change change) {
    change.operation = operation_;
    apply(projected_, change);
    changes_.push_back(std::move(change));
  }
  // Appends the fewest changes that give a line this effective weight.
  void set_weight(const PlannedLine& line, int value) {
    const auto it = projected_.lines.find({operation_, line.worker});
    if (it == projected_.lines.end()) {
      if (value > 0) append({Change::Kind::add, "", line.worker, value, ServerState::ready, line.endpoint});
      return;
    }
    if (it->second.effective_weight() == value && (value > 0 || it->second.state != ServerState::ready))
      return;
    if (value == 0) {
      // A drain states the intent better than a weight of 0, and lets open requests finish.
      append({Change::Kind::state, "", line.worker, 0, ServerState::drain, {}});
      return;
    }
    // The weight goes first, so that a line that becomes ready again does not use its old weight.
    if (it->second.weight != value)
      append({Change::Kind::weight, "", line.worker, value, ServerState::ready, {}});
    if (projected_.lines.at({operation_, line.worker}).state != ServerState::ready)
      append({Change::Kind::state, "", line.worker, 0, ServerState::ready, {}});
  }
  [[nodiscard]] std::vector<Change> take_changes() { return std::move(changes_); }

 private:
  ActualTable projected_;
  std::string operation_;
  std::vector<Change> changes_;
};

std::vector<Change> plan_operation(const ActualTable& actual, const DesiredTable::Operation& target,
                                   const std::set<std::string>& known) {
  const auto weights = integer_weights(target.lines);
  std::map<std::string, PlannedLine> lines;
  for (std::size_t k = 0; k < target.lines.size(); ++k) {
    const DesiredLine& desired_line = target.lines[k];
    lines[desired_line.name] = {
        desired_line.name, desired_line.at, 0, weights[k], true, desired_line.cold, false};
  }
  Planner planner{actual, target.operation};
  for (const auto& [key, line] : actual.lines) {
    if (key.first != target.operation) continue;
    const auto it = lines.find(key.second);
    if (it == lines.end()) {
      lines[key.second] = {key.second, line.endpoint, line.effective_weight(), 0, known.contains(key.second),
                           false,      false};
    } else {
      it->second.current_weight = line.effective_weight(),
      it->second.address_changed = line.endpoint != it->second.endpoint;
    }
  }
  double warm_current = 0, warm_target = 0, moving_target = 0;
  for (const auto& [name, line] : lines) {
    if (line.cold) continue;
    warm_current += line.current_weight, warm_target += line.target_weight;
    if (line.address_changed) moving_target += line.target_weight;
  }
  const double min_warm_weight = std::min(warm_current, warm_target - moving_target);
  // 1. Lower cold lines first. While the warm lines change, their sum can be as low as the smaller of the old
  // sum and the new one without the lines whose address changes.
  for (const auto& [name, line] : lines) {
    if (!line.cold || line.current_weight == 0 || line.address_changed) continue;
    int safe_weight = std::min(line.current_weight, line.target_weight);
    if (min_warm_weight > 0)
      safe_weight = std::min(safe_weight, static_cast<int>(std::max(line.current_weight / warm_current,
                                                                    line.target_weight / warm_target) *
                                                               min_warm_weight +
                                                           1e-9));
    if (safe_weight < line.current_weight) planner.set_weight(line, safe_weight);
  }
  // 2. Raise warm lines, so that a worker can be selected whichever line is removed next.
  for (const auto& [name, line] : lines)
    if (!line.cold && !line.address_changed && line.target_weight > line.current_weight)
      planner.set_weight(line, line.target_weight);
  // 3. Lower and remove warm lines. A new address means another process, so its line gets no weight until the
  // change of address is complete.
  for (const auto& [name, line] : lines)
    if (!line.cold && !line.address_changed && line.target_weight > 0 &&
        line.target_weight < line.current_weight)
      planner.set_weight(line, line.target_weight);
  const auto drain_removed = [&] {
    for (const auto& [name, line] : lines)
      if (line.target_weight == 0) planner.set_weight(line, 0);
  };
  const auto change_addresses = [&](bool cold) {
    for (const auto& [name, line] : lines) {
      if (!line.address_changed || line.cold != cold) continue;
      planner.set_weight(line, 0);
      planner.append({Change::Kind::address, "", name, 0, ServerState::ready, line.endpoint});
      planner.set_weight(line, line.target_weight);
    }
  };
  // The last usable line is removed only after another one is in place.
  const bool warm_line_remains = std::any_of(lines.begin(), lines.end(), [](const auto& row) {
    return !row.second.cold && !row.second.address_changed && row.second.target_weight > 0;
  });
  if (warm_line_remains) drain_removed();
  change_addresses(false);
  // 4. Bring cold lines to their target weight, now that the warm lines have theirs.
  for (const auto& [name, line] : lines)
    if (line.cold && !line.address_changed && line.target_weight > 0)
      planner.set_weight(line, line.target_weight);
  change_addresses(true);
  if (!warm_line_remains) drain_removed();
  // 5. Delete the lines of backends that no longer exist.
  for (const auto& [name, line] : lines) {
    const auto it = actual.lines.find({target.operation, name});
    if (line.known || line.target_weight > 0 || it == actual.lines.end()) continue;
    if (it->second.state != ServerState::maint)
      planner.append({Change::Kind::state, "", name, 0, ServerState::maint, {}});
    planner.append({Change::Kind::remove, "", name, 0, ServerState::ready, {}});
  }
  return planner.take_changes();
}

}  // namespace

std::vector<int> integer_weights(const std::vector<DesiredLine>& lines) {
  double max_weight = 0;
  for (const auto& line : lines) max_weight = std::max(max_weight, line.weight);
  std::vector<int> weights;
  if (max_weight <= 0) return std::vector<int>(lines.size(), 0);
  const double scale = std::exp2(std::floor(std::log2(kMaxWeight / max_weight) + 1e-9));
  for (const auto& line : lines) {
    const double exact = line.weight * scale;
    const double rounded = line.cold ? std::floor(exact + 1e-9) : std::round(exact);
    weights.push_back(std::clamp(static_cast<int>(rounded), 1, kMaxWeight));
  }
  return weights;
}

std::map<std::string, int> desired_variables(const DesiredTable& desired) {
  std::map<std::string, int> variables;
  for (const auto& target : desired.operations) {
    variables["level_" + target.operation] =
        static_cast<int>(std::lround(1000 * std::clamp(target.level.level, 0.0, 1.0)));
    variables["tries_" + target.operation] = static_cast<int>(target.level.tries);
    variables["rate_" + target.operation] =
        target.rate_limit < 0
            ? kUnlimitedRateTenths
            : static_cast<int>(std::lround(std::min(target.rate_limit * 10, 1.0 * kUnlimitedRateTenths)));
  }
  if (desired.retry_ratio >= 0)
    variables[kRetriesVariable] = static_cast<int>(1000 * desired.retry_ratio + 1e-9);
  return variables;
}

std::vector<Change> plan(const ActualTable& actual, const DesiredTable& desired, bool supports_variables) {
  const std::set<std::string> known{desired.known_backends.begin(), desired.known_backends.end()};
  std::vector<Change> all_changes;
  for (const auto& target : desired.operations) {
    // Without desired lines the operation is left as it is: a forwarder is never emptied.
    if (target.lines.empty()) continue;
    auto changes = plan_operation(actual, target, known);
    all_changes.insert(all_changes.end(), std::make_move_iterator(changes.begin()),
                       std::make_move_iterator(changes.end()));
  }
  if (supports_variables)
    for (const auto& [name, value] : desired_variables(desired))
      if (const auto it = actual.variables.find(name); it == actual.variables.end() || it->second != value)
        all_changes.push_back({Change::Kind::variable, "", name, value, ServerState::ready, {}});
  return all_changes;
}

void apply(ActualTable& actual, const Change& change) {
  if (change.kind == Change::Kind::variable) {
    actual.variables[change.worker] = change.value;
    return;
  }
  const std::pair key{change.operation, change.worker};
  if (change.kind == Change::Kind::remove) {
    actual.lines.erase(key);
    return;
  }
  ActualLine& line = actual.lines[key];
  switch (change.kind) {
    case Change::Kind::add:
      line = {change.endpoint, change.value, ServerState::ready};
      break;
    case Change::Kind::weight:
      line.weight = change.value;
      break;
    case Change::Kind::state:
      line.state = change.state;
      break;
    case Change::Kind::address:
      line.endpoint = change.endpoint;
      break;
    case Change::Kind::remove:
    case Change::Kind::variable:
      break;
  }
}

}  // namespace gorsemount::forwarders

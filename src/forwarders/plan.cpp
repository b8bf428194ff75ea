#include "forwarders/plan.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace gorsemount::forwarders {

using coordinator::DesiredLine;
using coordinator::DesiredTable;

namespace {

constexpr const char* kRetries = "retries";  // of all operations: thousandths of first tries
constexpr int kNoRate = 1'000'000'000;       // tenths a second: more than any forwarder meets

struct Line {
  std::string worker;
  Endpoint endpoint;
  int had = 0, is_to_have = 0;
  bool known = false, cold = false, moved = false;
};

class Planner {
 public:
  Planner(const ActualTable& held, std::string operation) : now_{held}, operation_{std::move(operation)} {}

  void change(Change c) {
    c.operation = operation_;
    apply(now_, c);
    changes_.push_back(std::move(c));
  }
  // Brings a line to a number of picks, by as few changes as that takes.
  void bring(const Line& line, int number) {
    const auto it = now_.lines.find({operation_, line.worker});
    if (it == now_.lines.end()) {
      if (number > 0) change({Change::What::add, "", line.worker, number, ServerState::ready, line.endpoint});
      return;
    }
    if (it->second.effective_weight() == number && (number > 0 || it->second.state != ServerState::ready))
      return;
    if (number == 0) {
      // A drain, and not a weight of 0: it says what is meant, and open work goes on.
      change({Change::What::state, "", line.worker, 0, ServerState::drain, {}});
      return;
    }
    // The number first: a line that comes back must not come back with what it had.
    if (it->second.weight != number)
      change({Change::What::weight, "", line.worker, number, ServerState::ready, {}});
    if (now_.lines.at({operation_, line.worker}).state != ServerState::ready)
      change({Change::What::state, "", line.worker, 0, ServerState::ready, {}});
  }
  [[nodiscard]] std::vector<Change> take() { return std::move(changes_); }

 private:
  ActualTable now_;
  std::string operation_;
  std::vector<Change> changes_;
};

std::vector<Change> plan_operation(const ActualTable& held, const DesiredTable::Operation& part,
                                   const std::set<std::string>& known) {
  const auto numbers = integer_weights(part.lines);
  std::map<std::string, Line> lines;
  for (std::size_t k = 0; k < part.lines.size(); ++k) {
    const DesiredLine& w = part.lines[k];
    lines[w.name] = {w.name, w.at, 0, numbers[k], true, w.cold, false};
  }
  Planner planner{held, part.operation};
  for (const auto& [key, line] : held.lines) {
    if (key.first != part.operation) continue;
    const auto it = lines.find(key.second);
    if (it == lines.end()) {
      lines[key.second] = {key.second, line.endpoint, line.effective_weight(), 0, known.contains(key.second),
                           false,      false};
    } else {
      it->second.had = line.effective_weight(), it->second.moved = line.endpoint != it->second.endpoint;
    }
  }
  double warm_had = 0, warm_to_have = 0, moving = 0;
  for (const auto& [name, l] : lines) {
    if (l.cold) continue;
    warm_had += l.had, warm_to_have += l.is_to_have;
    if (l.moved) moving += l.is_to_have;
  }
  const double warm_least = std::min(warm_had, warm_to_have - moving);
  // 1. Cold lines down: the warm weight beside them will at some time be the least of what it was and is to
  // be.
  for (const auto& [name, l] : lines) {
    if (!l.cold || l.had == 0 || l.moved) continue;
    int safe = std::min(l.had, l.is_to_have);
    if (warm_least > 0)
      safe = std::min(safe, static_cast<int>(
                                std::max(l.had / warm_had, l.is_to_have / warm_to_have) * warm_least + 1e-9));
    if (safe < l.had) planner.bring(l, safe);
  }
  // 2. Warm lines up: whoever may go next, there is someone to pick.
  for (const auto& [name, l] : lines)
    if (!l.cold && !l.moved && l.is_to_have > l.had) planner.bring(l, l.is_to_have);
  // 3. Warm lines down, and out; another address is another process, which gets nothing until it stands as
  // wanted.
  for (const auto& [name, l] : lines)
    if (!l.cold && !l.moved && l.is_to_have > 0 && l.is_to_have < l.had) planner.bring(l, l.is_to_have);
  const auto out = [&] {
    for (const auto& [name, l] : lines)
      if (l.is_to_have == 0) planner.bring(l, 0);
  };
  const auto move = [&](bool cold) {
    for (const auto& [name, l] : lines) {
      if (!l.moved || l.cold != cold) continue;
      planner.bring(l, 0);
      planner.change({Change::What::address, "", name, 0, ServerState::ready, l.endpoint});
      planner.bring(l, l.is_to_have);
    }
  };
  // The last that it holds goes only once another stands.
  const bool warm_stands = std::any_of(lines.begin(), lines.end(), [](const auto& row) {
    return !row.second.cold && !row.second.moved && row.second.is_to_have > 0;
  });
  if (warm_stands) out();
  move(false);
  // 4. Cold lines to what they are to have, beside the warm ones as they are to be.
  for (const auto& [name, l] : lines)
    if (l.cold && !l.moved && l.is_to_have > 0) planner.bring(l, l.is_to_have);
  move(true);
  if (!warm_stands) out();
  // 5. Names that are no more.
  for (const auto& [name, l] : lines) {
    const auto it = held.lines.find({part.operation, name});
    if (l.known || l.is_to_have > 0 || it == held.lines.end()) continue;
    if (it->second.state != ServerState::maint)
      planner.change({Change::What::state, "", name, 0, ServerState::maint, {}});
    planner.change({Change::What::remove, "", name, 0, ServerState::ready, {}});
  }
  return planner.take();
}

}  // namespace

std::vector<int> integer_weights(const std::vector<DesiredLine>& lines) {
  double heaviest = 0;
  for (const auto& l : lines) heaviest = std::max(heaviest, l.weight);
  std::vector<int> numbers;
  if (heaviest <= 0) return std::vector<int>(lines.size(), 0);
  const double scale = std::exp2(std::floor(std::log2(kMaxWeight / heaviest) + 1e-9));
  for (const auto& l : lines) {
    const double exact = l.weight * scale;
    const double rounded = l.cold ? std::floor(exact + 1e-9) : std::round(exact);
    numbers.push_back(std::clamp(static_cast<int>(rounded), 1, kMaxWeight));
  }
  return numbers;
}

std::map<std::string, int> values_of(const DesiredTable& wanted) {
  std::map<std::string, int> values;
  for (const auto& part : wanted.operations) {
    values["level_" + part.operation] =
        static_cast<int>(std::lround(1000 * std::clamp(part.level.level, 0.0, 1.0)));
    values["tries_" + part.operation] = static_cast<int>(part.level.tries);
    values["rate_" + part.operation] =
        part.rate_limit < 0 ? kNoRate
                            : static_cast<int>(std::lround(std::min(part.rate_limit * 10, 1.0 * kNoRate)));
  }
  if (wanted.retry_ratio >= 0) values[kRetries] = static_cast<int>(1000 * wanted.retry_ratio + 1e-9);
  return values;
}

std::vector<Change> plan(const ActualTable& held, const DesiredTable& wanted, bool with_values) {
  const std::set<std::string> known{wanted.known_backends.begin(), wanted.known_backends.end()};
  std::vector<Change> all;
  for (const auto& part : wanted.operations) {
    // An empty part orders nothing: a forwarder is never wiped.
    if (part.lines.empty()) continue;
    auto changes = plan_operation(held, part, known);
    all.insert(all.end(), std::make_move_iterator(changes.begin()), std::make_move_iterator(changes.end()));
  }
  if (with_values)
    for (const auto& [name, number] : values_of(wanted))
      if (const auto it = held.variables.find(name); it == held.variables.end() || it->second != number)
        all.push_back({Change::What::value, "", name, number, ServerState::ready, {}});
  return all;
}

void apply(ActualTable& held, const Change& c) {
  if (c.what == Change::What::value) {
    held.variables[c.worker] = c.number;
    return;
  }
  const std::pair key{c.operation, c.worker};
  if (c.what == Change::What::remove) {
    held.lines.erase(key);
    return;
  }
  ActualLine& line = held.lines[key];
  switch (c.what) {
    case Change::What::add:
      line = {c.endpoint, c.number, ServerState::ready};
      break;
    case Change::What::weight:
      line.weight = c.number;
      break;
    case Change::What::state:
      line.state = c.state;
      break;
    case Change::What::address:
      line.endpoint = c.endpoint;
      break;
    case Change::What::remove:
    case Change::What::value:
      break;
  }
}

}  // namespace gorsemount::forwarders

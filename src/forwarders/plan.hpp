// Decides how a forwarder gets from what it holds to what it is to hold: whole weights from real ones, and
// the order of changes, which is safe at every prefix. Free of I/O and of any protocol's words.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::forwarders {

inline constexpr int kMaxWeight = 256;  // of a forwarder's line

enum class ServerState { ready, drain, maint };

struct ActualLine {
  Endpoint endpoint;
  int weight = 0;
  ServerState state = ServerState::ready;
  bool operator==(const ActualLine&) const = default;
  // What it counts for when a worker is picked.
  [[nodiscard]] int effective_weight() const { return state == ServerState::ready ? weight : 0; }
};
struct ActualTable {
  std::map<std::pair<std::string, std::string>, ActualLine> lines;  // by operation, by worker
  std::map<std::string, int> variables;                             // levels, tries and rates, by name
  bool operator==(const ActualTable&) const = default;
};

struct Change {
  enum class What { add, weight, state, address, remove, value } what = What::weight;
  std::string operation, worker;  // of a value: its name in `worker`
  int number = 0;                 // a weight, or a value
  ServerState state = ServerState::ready;
  Endpoint endpoint;
  bool operator==(const Change&) const = default;
};

// Whole weights for real ones. The scale is a power of two that brings the heaviest line to over half of the
// range, so that it moves only when the heaviest line halves or doubles, and a line that did not change keeps
// its number. A wanted line is never 0; a cold one is rounded down, since more than its part could tip it.
[[nodiscard]] std::vector<int> integer_weights(const std::vector<coordinator::DesiredLine>& lines);

// The changes from `held` to `wanted`, in an order that is safe wherever it is cut off: no line that is to
// get nothing is ever raised; and, as long as some wanted warm line keeps its address, the forwarder is never
// left without a worker to pick if it had one, and no cold worker's weight beside the warm ones' ever exceeds
// both what it was and what it is to be. `with_values`: whether the forwarder can take levels and rates.
[[nodiscard]] std::vector<Change> plan(const ActualTable& held, const coordinator::DesiredTable& wanted,
                                       bool with_values);

// What a change does to a forwarder.
void apply(ActualTable& held, const Change& change);

// The names of an operation's values, and their numbers: parts in thousandths, rates in tenths a second; and
// `retries`, of all operations together.
[[nodiscard]] std::map<std::string, int> values_of(const coordinator::DesiredTable& wanted);

}  // namespace gorsemount::forwarders

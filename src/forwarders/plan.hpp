// Plans how a forwarder gets from its actual table to the desired one: integer weights, and an ordered list
// of changes that is safe at every prefix. Does no I/O and knows no wire protocol.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::forwarders {

inline constexpr int kMaxWeight = 256;

enum class ServerState { ready, drain, maint };

struct ActualLine {
  Endpoint endpoint;
  int weight = 0;
  ServerState state = ServerState::ready;
  bool operator==(const ActualLine&) const = default;
  // The weight with which the forwarder selects the worker: 0 unless the line is ready.
  [[nodiscard]] int effective_weight() const { return state == ServerState::ready ? weight : 0; }
};
struct ActualTable {
  std::map<std::pair<std::string, std::string>, ActualLine> lines;  // by operation and worker
  std::map<std::string, int> variables;  // admission levels, tries and rate limits, by variable name
  bool operator==(const ActualTable&) const = default;
};

struct Change {
  enum class Kind { add, weight, state, address, remove, variable } kind = Kind::weight;
  std::string operation, worker;  // for a variable, `worker` holds its name
  int value = 0;                  // of the weight or the variable
  ServerState state = ServerState::ready;
  Endpoint endpoint;
  bool operator==(const Change&) const = default;
};

// Scales real weights to integers. The scale is a power of two that puts the heaviest line above half of
// kMaxWeight, so it changes only when the heaviest weight halves or doubles, and other lines keep their
// integers. A desired line gets at least 1. A cold line is rounded down, since extra load could overload it.
[[nodiscard]] std::vector<int> integer_weights(const std::vector<coordinator::DesiredLine>& lines);

// Returns the changes from `actual` to `desired`. They may be cut off at any point:
// - no line that is to be removed or drained is ever raised;
// - as long as some desired warm line keeps its address, a forwarder that had a worker to select always has
//   one, and the ratio of a cold worker's weight to the warm weight never exceeds both its old and its new
//   value.
// `supports_variables`: whether the forwarder accepts admission levels and rate limits.
[[nodiscard]] std::vector<Change> plan(const ActualTable& actual, const coordinator::DesiredTable& desired,
                                       bool supports_variables);

// Applies `change` to the model of a forwarder's table.
void apply(ActualTable& actual, const Change& change);

// Returns the variables of all operations by name: levels in thousandths, rate limits in tenths per second,
// and `retries`, the retry ratio of all operations together in thousandths.
[[nodiscard]] std::map<std::string, int> desired_variables(const coordinator::DesiredTable& desired);

}  // namespace gorsemount::forwarders

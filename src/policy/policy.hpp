// Interface of the decision module: what it is told at its start, what it hears, what it orders.
// Nothing here knows a wire; a host (the bench's adapter today) translates.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace gorsemount {

enum class Effect { idempotent, fingerprinted, side_effecting };
enum class LevelKind { share, rate, off };
enum class FurtherTries : std::uint8_t { none = 0, after_proof = 1, one = 2, two = 3 };

struct Operation {
  Effect effect = Effect::side_effecting;
  Span latency_objective;
  double billed_value = 0;
};

struct Settings {
  std::vector<Operation> operations;
  LevelKind level_kind = LevelKind::off;
  FurtherTries usual_tries = FurtherTries::after_proof;
  bool ask_for_list = false;
  Span report_every;
  double intake = 0;  // report lines a second handed on at most; the rest waits
  // The channel to the proxies, in lines.
  double backlog = 0;
  double push_rate = 0;
  double per_message = 0;
  int messages_most = 0;  // 0: no cap
  Span messages_window;
  double proxies = 0;  // over all coordinators
  double coordinators = 1;
  Span keepalive;  // a proxy closes connections that are idle this long
  // Figures of the rules.
  Span ask_within;
  Span drain_grace;
  bool removal_binds = true;  // false: the drain rule counts from `draining` only, not from `gone`
  double cold_from = 0;
  Span cold_for;
  double tip_multiple = 0;  // a cold backend falls over at this many times its present capacity
};

enum class Availability { ready, draining, gone };
enum class ListScope { changes, whole, remembered, failed };

struct Listed {
  struct Entry {
    BackendId backend;
    ZoneId zone;
    Availability availability = Availability::ready;
    double weight = 1;
    std::optional<Instant> started;  // absent: long ago
  };
  ListScope scope = ListScope::whole;
  std::vector<Entry> entries;
};
struct TimerFired {
  TimerTag tag;
};
struct ProxyJoined {
  ProxyId proxy;
  ZoneId zone;
  double usual_rate = 0;  // invocations a second, not exact
};
struct ProxyLeft {
  ProxyId proxy;
};
struct BackendReport {
  ZoneId proxies_in;
  BackendId backend;
  int tries = 0;
  int errored = 0;
  Span mean_latency;  // of the succeeded ones; zero if none
  Span over;
  std::optional<double> busy;  // part of the backend's processors in use, as it last told
};
struct DemandReport {
  ProxyId proxy;
  OperationId operation;
  int arrived = 0;
  Span over;
};
using Event = std::variant<Listed, TimerFired, ProxyJoined, ProxyLeft, BackendReport, DemandReport>;

struct SetLine {
  TableId table;
  BackendId backend;
  double weight = 0;  // 0 removes the line
};
struct BindProxy {
  ProxyId proxy;
  TableId table;  // for every operation
};
struct SetLevel {
  TableId table;
  OperationId operation;
  FurtherTries tries = FurtherTries::none;
  double level = 0;  // in the kind that the settings name
};
struct FollowList {};  // subscribe to changes of the list
struct WakeMe {
  Span after;
  TimerTag tag;
};
using Order = std::variant<SetLine, BindProxy, SetLevel, FollowList, WakeMe>;

// What one instance knows that is worth more than its life, for the next one or for another beside it. Only
// what is not whole. Spans count from when it was remembered; `next_in` may be below zero.
struct Memory {
  struct Rung {
    double share = 1;
    bool falling = false, eased = false;
    Span next_in, changed_ago;
    int relapses = 0;
    auto operator<=>(const Rung&) const = default;
  };
  std::map<ZoneId, Rung> zones;
  std::map<BackendId, Rung> backends;
  std::map<std::pair<ZoneId, ZoneId>, Rung> links;  // from the proxies' zone to the backends'
  std::vector<double> able;  // what full use of the fleet has carried, by listed weight; the last rounds
};

// One coordinator's decisions. Instances share nothing.
class Policy {
 public:
  Policy(Settings settings, std::uint64_t seed);
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  ~Policy();

  // All that came in at one time; the orders take effect in the order returned.
  [[nodiscard]] std::vector<Order> handle(Instant now, const std::vector<Event>& events);

  [[nodiscard]] Memory remember(Instant now) const;
  // Takes over what another knew. The lower share counts, so a recall never raises anything; a backend that
  // is not listed yet keeps its rung till it is.
  void recall(Instant now, const Memory& memory);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace gorsemount

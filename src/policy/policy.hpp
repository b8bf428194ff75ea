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
enum class AdmissionMode { share, rate, off };
enum class RetryPolicy : std::uint8_t { none = 0, if_unprocessed = 1, one = 2, two = 3 };

struct Operation {
  Effect effect = Effect::side_effecting;
  Span latency_objective;
  double billed_value = 0;
};

struct Settings {
  std::vector<Operation> operations;
  AdmissionMode admission_mode = AdmissionMode::off;
  RetryPolicy default_retries = RetryPolicy::if_unprocessed;
  bool explicit_subscription = false;
  Span report_every;
  double max_report_rate = 0;  // report lines a second handed on at most; the rest waits
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
  Span subscribe_timeout;
  Span drain_grace;
  bool removal_binds = true;  // false: the drain rule counts from `draining` only, not from `gone`
  double cold_from = 0;
  Span cold_for;
  double tip_multiple = 0;  // a cold backend falls over at this many times its present capacity
};

enum class Availability { ready, draining, gone };
enum class ListScope { delta, full, cached, failed };

struct BackendListUpdate {
  struct Entry {
    BackendId backend;
    ZoneId zone;
    Availability availability = Availability::ready;
    double weight = 1;
    std::optional<Instant> started;  // absent: long ago
  };
  ListScope scope = ListScope::full;
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
  ZoneId proxy_zone;
  BackendId backend;
  int tries = 0;
  int errored = 0;
  Span mean_latency;  // of the succeeded ones; zero if none
  Span interval;
  std::optional<double> utilization;  // part of the backend's processors in use, as it last told
};
struct DemandReport {
  ProxyId proxy;
  OperationId operation;
  int arrived = 0;
  Span interval;
};
using Event =
    std::variant<BackendListUpdate, TimerFired, ProxyJoined, ProxyLeft, BackendReport, DemandReport>;

struct SetWeight {
  TableId table;
  BackendId backend;
  double weight = 0;  // 0 removes the line
};
struct BindProxy {
  ProxyId proxy;
  TableId table;  // for every operation
};
struct SetAdmission {
  TableId table;
  OperationId operation;
  RetryPolicy retries = RetryPolicy::none;
  double limit = 0;  // in the kind that the settings name
};
struct SubscribeToList {};  // subscribe to changes of the list
struct SetTimer {
  Span after;
  TimerTag tag;
};
using Order = std::variant<SetWeight, BindProxy, SetAdmission, SubscribeToList, SetTimer>;

// What one instance knows that is worth more than its life, for the next one or for another beside it. Only
// what is not whole. Spans count from when it was remembered; `next_step_in` may be below zero.
struct PolicySnapshot {
  struct ShareState {
    double share = 1;
    bool reducing = false, was_slow = false;
    Span next_step_in, since_change;
    int failed_trials = 0;
    auto operator<=>(const ShareState&) const = default;
  };
  std::map<ZoneId, ShareState> zones;
  std::map<BackendId, ShareState> backends;
  std::map<std::pair<ZoneId, ZoneId>, ShareState> links;  // from the proxies' zone to the backends'
  std::vector<double>
      capacity_samples;  // what full use of the fleet has carried, by listed weight; the last rounds
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

  [[nodiscard]] PolicySnapshot snapshot(Instant now) const;
  // Takes over what another knew. The lower share counts, so a recall never raises anything; a backend that
  // is not listed yet keeps its rung till it is.
  void restore(Instant now, const PolicySnapshot& memory);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace gorsemount

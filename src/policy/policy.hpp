// Interface of the decision module: its settings, the events it receives and the orders it returns. It knows
// no wire format; a host translates between this interface and the outside.
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
// Unit of an admission limit: a share of the demand, a rate per proxy, or no limits at all.
enum class AdmissionMode { share, rate, off };
// Retries that a proxy may make: none, only if the first try is known to be unprocessed, or up to one or two.
enum class RetryPolicy : std::uint8_t { none = 0, if_unprocessed = 1, one = 2, two = 3 };

struct Operation {
  Effect effect = Effect::side_effecting;
  Span latency_objective;
  double billed_value = 0;
  bool zone_bound = false;  // only backends in the proxy's zone may serve it
};

struct Settings {
  std::vector<Operation> operations;
  AdmissionMode admission_mode = AdmissionMode::off;
  RetryPolicy default_retries = RetryPolicy::if_unprocessed;
  bool explicit_subscription = false;  // the module must subscribe to the list before it is sent
  Span report_every;
  double max_report_rate = 0;  // reports that the host passes on a second; the rest is delayed
  // Channel to the proxies. Sizes are in lines; a line sets one weight or one admission limit.
  double backlog = 0;      // capacity of its queue
  double push_rate = 0;    // lines a second
  double per_message = 0;  // overhead of a message, in lines
  Span propagation;        // mean time from leaving the channel to taking effect
  int messages_most = 0;   // per proxy and messages_window; 0: no limit
  Span messages_window;
  double proxies = 0;  // of all coordinators
  double coordinators = 1;
  Span keepalive;  // proxies close connections that are idle for this long
  // The host can carry out RemoveBackends: change the table that a proxy brought along.
  bool can_edit_unordered_tables = false;
  // Safety limits.
  Span subscribe_timeout;
  Span drain_grace;           // time to remove a draining backend from all tables
  bool removal_binds = true;  // false: only `draining` requires removal, `gone` does not
  double cold_from = 0;       // capacity of a backend at its start, as a fraction
  Span cold_for;              // time from its start to full capacity
  double tip_multiple = 0;    // a cold backend collapses at this multiple of its present capacity
};

enum class Availability { ready, draining, gone };
enum class ListScope { delta, full, cached, failed };

struct BackendListUpdate {
  struct Entry {
    BackendId backend;
    ZoneId zone;
    Availability availability = Availability::ready;
    double weight = 1;
    std::optional<Instant> started;  // empty: long ago
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
  double usual_rate = 0;  // invocations a second, approximate
};
struct ProxyLeft {
  ProxyId proxy;
};
struct BackendReport {
  ZoneId proxy_zone;
  BackendId backend;
  int tries = 0;
  int errored = 0;
  Span mean_latency;  // of the succeeded tries; zero if none
  Span interval;
  std::optional<double> utilization;  // fraction of the backend's processors in use, as last reported
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
  double weight = 0;  // 0 removes the backend from the table
};
struct BindProxy {
  ProxyId proxy;
  TableId table;
  std::vector<OperationId> operations = {};  // that use the table; empty: all
};
// Removes lines from the table that a proxy brought along, before it is bound to one.
struct RemoveBackends {
  ProxyId proxy;
  std::vector<BackendId> backends;
};
struct SetAdmission {
  TableId table;
  OperationId operation;
  RetryPolicy retries = RetryPolicy::none;
  double limit = 0;  // in the unit of the admission mode
};
struct SubscribeToList {};
struct SetTimer {
  Span after;
  TimerTag tag;
};
using Order = std::variant<SetWeight, BindProxy, RemoveBackends, SetAdmission, SubscribeToList, SetTimer>;

// Learned state for a restarted or another instance. Holds only targets with a reduced share or failed
// trials. Spans are relative to the time of the snapshot; `next_step_in` may be negative.
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
  std::map<std::pair<ZoneId, ZoneId>, ShareState> links;  // keyed by proxy zone, backend zone
  // Cost a second at full utilization per unit of listed weight, for the last rounds.
  std::vector<double> capacity_samples;
};

// The decisions of one coordinator. Instances share no state.
class Policy {
 public:
  Policy(Settings settings, std::uint64_t seed);
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  ~Policy();

  // Takes all events of one time; the orders take effect in the order returned.
  [[nodiscard]] std::vector<Order> handle(Instant now, const std::vector<Event>& events);

  // The estimate of the channel: the lines that wait in it, and all that were written to it.
  struct ChannelEstimate {
    double backlog = 0, written = 0;
  };
  [[nodiscard]] ChannelEstimate channel_estimate(Instant now) const;

  [[nodiscard]] PolicySnapshot snapshot(Instant now) const;
  // Merges another instance's state. The lower share is kept, so this never raises a share; the state of a
  // backend that is not listed is held until it is.
  void restore(Instant now, const PolicySnapshot& saved);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace gorsemount

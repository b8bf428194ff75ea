// The coordinator's core: turns inputs into policy events and the policy's orders into published tables. It
// does no I/O and reads no clock; the event loop, the simulator and the tests all drive it through step().
//
// Order within step(now, inputs): inputs, idle groups, the policy's backend list, timers, report round,
// policy, orders, channel, publish. `now` never decreases.
//
// It enforces the safety rules independently of the policy's decisions: see publish() and channel.hpp.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <type_traits>

#include "coordinator/channel.hpp"
#include "coordinator/groups.hpp"
#include "coordinator/operator_overrides.hpp"
#include "coordinator/report_aggregator.hpp"
#include "coordinator/types.hpp"
#include "limits/fleet_rate_limit.hpp"
#include "limits/retry_budget.hpp"
#include "spillover/spillover_planner.hpp"

namespace gorsemount::coordinator {

// Makes the decisions: the policy, or a baseline, which has no state to export.
struct DecisionMaker {
  using Handle = std::function<std::vector<Order>(Instant, const std::vector<Event>&)>;
  DecisionMaker() = default;
  template <class F>
  requires std::is_constructible_v<Handle, F> DecisionMaker(F f)
      : handle{std::move(f)} {}  // NOLINT: implicit, so that a plain function can be passed
  explicit operator bool() const { return static_cast<bool>(handle); }

  Handle handle;
  std::function<PolicySnapshot(Instant)> export_state;
  std::function<void(Instant, const PolicySnapshot&)> import_state;
};

// The policy's settings, derived from the coordinator's.
[[nodiscard]] gorsemount::Settings policy_settings(const Settings& settings);
[[nodiscard]] DecisionMaker policy_decision_maker(const Settings& settings);

// Time to live of answers, in whole seconds, such that a removed backend is out of all caches within the
// drain grace period. It is half of drain_grace - use_after; the other half is for the coordinator to learn
// of the drain and remove the backend.
[[nodiscard]] Span answer_lifetime(const Settings& settings);

struct Counters {
  std::uint64_t steps = 0, orders = 0, messages = 0;
  std::uint64_t deferred_messages = 0;  // updates that did not fit into the channel at once
  std::uint64_t filtered_lines = 0;     // table lines left out of published views
  std::uint64_t fallback_views = 0;  // views filled with the fallback lines since they would have been empty
  std::uint64_t rejected_samples = 0;  // load and forwarder reports rejected in whole or in part
  double peak_backlog = 0;             // lines
};

class Coordinator {
 public:
  Coordinator(Settings settings, DecisionMaker decide);
  // Members hold references to each other.
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  [[nodiscard]] Effects step(Instant now, const std::vector<Input>& inputs);

  // Id by which inputs refer to a backend of the roster; nullopt if the roster never listed it.
  [[nodiscard]] std::optional<BackendId> backend_id(const std::string& name) const;
  [[nodiscard]] std::shared_ptr<const GroupMap> group_map() const { return group_map_; }
  [[nodiscard]] Counters counters() const;

  // State for the operators' interface.
  struct BackendState {
    std::string name, zone, state;  // state: unknown, ready, draining, gone
    Endpoint at;
    double listed_weight = 0, weight = 0;  // weight: the highest in the current tables
    bool cold = false, refuses_connections = false, operator_override = false;
    const char* sample_fault = "none";
  };
  [[nodiscard]] std::vector<BackendState> backends() const;
  struct ProxyState {
    std::string name;
    ProxyId id;
    std::optional<TableId> table;
    std::uint64_t ordered_version = 0, applied_version = 0;  // table versions
    double rate = 0;
  };
  [[nodiscard]] std::vector<ProxyState> proxies() const;
  [[nodiscard]] const std::map<TableId, TablePtr>& tables() const { return current_tables_; }
  // A recent version of a table; null if it is no longer in the history.
  [[nodiscard]] TablePtr table_version(std::uint64_t version) const;
  [[nodiscard]] const Settings& settings() const { return settings_; }
  [[nodiscard]] double channel_backlog() const { return channel_.backlog(now_); }
  [[nodiscard]] bool decisions_held() const { return decisions_held_; }

  // Facts to replicate to other controllers and to restore after a restart (state_transfer.cpp).
  [[nodiscard]] recovery::Facts facts() const;
  // Whether a zone is being drained or is coming back, by the policy or by an operator's order.
  [[nodiscard]] bool zone_shift_in_progress() const;

 private:
  struct BackendRecord {
    RosterEntry entry;
    Instant first_seen;
    bool listed = true;                                 // in the newest roster
    std::optional<BackendListUpdate::Entry> announced;  // as last passed to the policy
    Instant invalidated_at;                             // when it last began draining, was gone or restarted
    bool usable(const Instant table_created_at, const bool removal_binds) const {
      if (!announced) return false;
      if (announced->availability == Availability::draining) return false;
      if (announced->availability == Availability::gone && removal_binds) return false;
      return table_created_at >= invalidated_at;
    }
  };

  void absorb(const RosterUpdate& input);
  void absorb(const LoadReport& input);
  void absorb(const LoadPollFailed& input);
  void absorb(const HealthCheckResult& input);
  void absorb(const GroupLookup& input);
  void absorb(const SettingsReloaded& input);
  void absorb(const ForwarderJoined& input);
  void absorb(const ForwarderLeft& input);
  void absorb(const ForwarderReport& input);
  void absorb(const ForwarderAppliedTable& input);
  void absorb(const OperatorCommand& input);
  void absorb(const FactsReceived& input);
  void absorb(const GroupLeadership& input);
  void absorb(const LeaderTable& input);
  void restore_backend(BackendId id, BackendRecord& record, PolicySnapshot& memory);
  void end_takeovers();
  void update_spillover(const std::vector<Event>& reports);
  void update_subset_shares();
  [[nodiscard]] std::vector<double> subset_zone_shares(const Table& table, ZoneId proxies,
                                                       const std::vector<double>& in_table) const;
  [[nodiscard]] spillover::ZoneLatencies zone_latencies(const std::vector<Event>& reports);
  [[nodiscard]] TablePtr spillover_table(TablePtr table, ZoneId proxies);
  [[nodiscard]] std::map<BackendId, double> forwarder_lines(ProxyId forwarder, const Table& table) const;
  [[nodiscard]] TablePtr group_table_for(ProxyId group) const;
  [[nodiscard]] std::string rejection_reason(const OperatorCommand& input) const;
  [[nodiscard]] std::string proxy_name(ProxyId proxy) const;
  void request_tables();
  [[nodiscard]] TablePtr guarded_table(TablePtr table);
  [[nodiscard]] std::shared_ptr<const DesiredTable> desired_table(ProxyId forwarder, const Table& table);
  void distribute_limits();
  void distribute_retry_budget();
  void prune_backends();
  void update_refusing(BackendId backend);
  void announce_roster();
  [[nodiscard]] bool weight_lowered(const BackendRecord& record) const;
  void apply(const std::vector<Order>& orders);
  void publish();
  [[nodiscard]] std::vector<Line> fallback_lines(OperationId operation) const;
  [[nodiscard]] bool warm(const BackendRecord& record) const;
  void log_event(LogEvent::Severity severity, std::string event,
                 std::vector<std::pair<std::string, std::string>> fields);

  Settings settings_;
  DecisionMaker decision_maker_;
  std::shared_ptr<const GroupMap> group_map_;
  ReportAggregator report_aggregator_;
  ProxyPresence proxy_presence_{settings_};
  Channel channel_{settings_};

  Instant now_;
  std::vector<Event> events_;
  Effects effects_;
  std::map<std::string, BackendId> backend_ids_;
  std::map<BackendId, BackendRecord> backends_;
  std::uint32_t next_id_ = 1;
  std::map<BackendId, SampleFault> sample_faults_;  // last fault of each, to log changes only
  std::set<BackendId> load_missing_;                // backends whose last load poll failed
  // Backends with new information. A step looks only at these, not at the whole fleet, since there can be
  // hundreds of steps per second.
  std::set<BackendId> changed_backends_;
  std::set<BackendId> unannounced_;  // listed, but not yet passed to the policy
  std::set<BackendId> refusing_;     // refuse connections
  std::size_t roster_size_ = 0;
  bool refusals_trusted_ = true;
  std::optional<Instant> next_slow_start_end_;  // when the fallback lines next change by themselves
  bool fallback_stale_ = true;                  // recompute the fallback lines in this step
  std::multimap<Instant, TimerTag> timers_;
  std::optional<Instant> next_round_;
  std::map<TableId, Table> ordered_tables_;  // as ordered by the policy
  std::map<TableId, TablePtr> current_tables_;
  std::deque<TablePtr> table_history_;  // recent versions, for operators
  std::set<TableId> unapplied_tables_;  // changed while decisions are on hold
  std::map<ProxyId, TableId> bound_tables_;
  // Tables for forwarders, with unusable backends already removed: a forwarder keeps the table it was sent,
  // whereas DNS answers are made from views that are filtered in each step.
  std::map<TableId, std::pair<std::pair<std::uint64_t, std::uint64_t>, TablePtr>> guarded_tables_;
  std::uint64_t guard_generation_ = 0;  // incremented when the filter result may change
  // Table variants by zone of the proxies, when spillover between zones is enabled.
  std::optional<spillover::SpilloverPlanner> spill_;
  std::vector<std::vector<double>> zone_shares_;
  std::vector<std::vector<int>> failover_tiers_;
  std::deque<std::vector<spillover::FlowProblem::OperationDemand>>
      recent_demand_;  // of the last report rounds
  std::map<std::pair<TableId, ZoneId>, double> subset_shares_;
  // of the last report rounds
  std::map<std::pair<std::size_t, std::size_t>, std::deque<Span>> recent_latencies_;
  std::vector<bool> tier_mismatch_;
  bool overloaded_ = false;
  std::uint64_t spillover_generation_ = 0;
  std::map<std::pair<TableId, ZoneId>, std::pair<std::pair<std::uint64_t, std::uint64_t>, TablePtr>>
      spillover_tables_;
  std::map<ProxyId, std::uint64_t> applied_versions_, delivered_versions_;
  // State of a backend restored from facts, kept until it is known which process now has its name.
  struct RememberedBackend {
    std::optional<recovery::Fact> share_state, drain, cold;
  };
  std::map<std::string, RememberedBackend> remembered_;
  // Forwarders taken over from another controller. Retries beyond the first try stay disabled until `until`,
  // which is set once the forwarder has confirmed a table.
  struct Takeover {
    bool partially_sent = false;  // its table may have been changed only in part
    std::optional<Instant> until;
  };
  std::map<ProxyId, Takeover> takeovers_;
  // After a restart with restored state: the weights each forwarder was found with. They stay in force until
  // the policy has had enough reports.
  struct FoundLines {
    std::map<std::string, double> lines;
    Instant until;
  };
  std::map<ProxyId, FoundLines> found_lines_;
  bool restored_own_state_ = false;
  std::map<ProxyId, bool> partially_sent_;  // as reported by other controllers
  std::map<ProxyId, Instant> last_lookups_;
  std::map<ProxyId, TablePtr> leader_tables_;  // tables of groups led by another controller
  std::set<ProxyId> remotely_led_;
  OperatorOverrides operator_overrides_;
  std::optional<Instant> next_override_change_;
  bool decisions_held_ = false;
  std::optional<Instant> hold_ordered_at_;
  limits::FleetRateLimit fleet_limit_;
  limits::FleetRateLimit::Allocations limit_shares_;
  limits::RetryBudget retry_budget_;
  std::uint64_t table_version_ = 0, view_version_ = 0, publish_version_ = 0;
  bool roster_announced_ = false, publish_needed_ = true;
  std::shared_ptr<const std::map<BackendId, DirectoryEntry>> directory_;
  std::vector<std::vector<Line>> fallback_lines_;  // by operation, as last published
  std::map<std::pair<std::uint64_t, OperationId>, std::shared_ptr<const RoutingView>>
      views_;  // by table version
  Counters counters_;
};

}  // namespace gorsemount::coordinator

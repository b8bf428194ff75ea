// The coordinator's core: inputs become the module's events, its orders become published tables. It does no
// I/O and reads no clock; the epoll loop, an emulator and the tests step it alike.
//
//   step(now, inputs): absorb -> tell (list) -> joins, timers, a report round -> decide -> apply -> channel
//   -> publish. `now` never goes back.
//
// It keeps what the five rules need even where a decision would not: see publish() and channel.hpp.
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

// What decides: the module, or a baseline beside it, which remembers nothing.
struct DecisionMaker {
  using Handle = std::function<std::vector<Order>(Instant, const std::vector<Event>&)>;
  DecisionMaker() = default;
  template <class F>
  requires std::is_constructible_v<Handle, F> DecisionMaker(F f)
      : handle{std::move(f)} {}  // NOLINT: a plain function decides too
  explicit operator bool() const { return static_cast<bool>(handle); }

  Handle handle;
  std::function<PolicySnapshot(Instant)> export_state;
  std::function<void(Instant, const PolicySnapshot&)> import_state;
};

// The module's settings, worked out from ours.
[[nodiscard]] gorsemount::Settings policy_settings(const Settings& settings);
[[nodiscard]] DecisionMaker policy_decision_maker(const Settings& settings);

// How long an answer may be kept, in whole seconds, so that what was cut is out of all caches within the
// grace. Half of the grace less the time of use: the other half is for the coordinator to hear and to cut.
[[nodiscard]] Span answer_lifetime(const Settings& settings);

struct Counters {
  std::uint64_t steps = 0, orders = 0, messages = 0;
  std::uint64_t deferred_messages = 0;  // messages that did not fit into the channel at once
  std::uint64_t filtered_lines = 0;     // lines that the published views left out though a table had them
  std::uint64_t fallback_views = 0;     // views that the standing lines filled since they were empty
  std::uint64_t rejected_samples = 0;   // load replies that were not taken as they came
  double peak_backlog = 0;              // lines
};

class Coordinator {
 public:
  Coordinator(Settings settings, DecisionMaker decide);
  // The parts refer to each other.
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  [[nodiscard]] Effects step(Instant now, const std::vector<Input>& inputs);

  // The id by which inputs name a backend of the roster; absent if it never was in it.
  [[nodiscard]] std::optional<BackendId> backend_id(const std::string& name) const;
  [[nodiscard]] std::shared_ptr<const GroupMap> group_map() const { return group_map_; }
  [[nodiscard]] Counters counters() const;

  // For people: what is known, and what each is told.
  struct BackendState {
    std::string name, zone, state;  // state: unknown, ready, draining, gone
    Endpoint at;
    double listed_weight = 0, weight = 0;  // weight: by the newest tables, of all operations the highest
    bool cold = false, refuses_connections = false, operator_override = false;
    const char* sample_fault = "none";
  };
  [[nodiscard]] std::vector<BackendState> backends() const;
  struct ProxyState {
    std::string name;
    ProxyId id;
    std::optional<TableId> table;
    std::uint64_t ordered_version = 0, applied_version = 0;  // versions
    double rate = 0;
  };
  [[nodiscard]] std::vector<ProxyState> proxies() const;
  [[nodiscard]] const std::map<TableId, TablePtr>& tables() const { return versions_; }
  // A version of a table, while it is among the last that were made; null otherwise.
  [[nodiscard]] TablePtr table_version(std::uint64_t version) const;
  [[nodiscard]] const Settings& settings() const { return s_; }
  [[nodiscard]] double channel_backlog() const { return channel_.waiting(now_); }
  [[nodiscard]] bool decisions_held() const { return hold_; }

  // What is worth telling another controller, or a later life (remember.cpp).
  [[nodiscard]] recovery::Facts facts() const;
  // A zone is being drained or comes back, by the module's ladder or by a person's order.
  [[nodiscard]] bool zone_shift_in_progress() const;

 private:
  struct Row {
    RosterEntry entry;
    Instant first_seen;
    bool listed = true;                            // in the newest roster
    std::optional<BackendListUpdate::Entry> told;  // what the module knows
    Instant learned;  // when it was last known to drain, to be gone or to start anew
    bool counts(const Instant made, const bool removal_binds) const {
      if (!told) return false;
      if (told->availability == Availability::draining) return false;
      if (told->availability == Availability::gone && removal_binds) return false;
      return made >= learned;
    }
  };

  void absorb(const RosterUpdate& e);
  void absorb(const LoadReport& e);
  void absorb(const LoadPollFailed& e);
  void absorb(const HealthCheckResult& e);
  void absorb(const GroupLookup& e);
  void absorb(const SettingsReloaded& e);
  void absorb(const ForwarderJoined& e);
  void absorb(const ForwarderLeft& e);
  void absorb(const ForwarderReport& e);
  void absorb(const ForwarderAppliedTable& e);
  void absorb(const OperatorCommand& e);
  void absorb(const FactsReceived& e);
  void absorb(const GroupLeadership& e);
  void absorb(const LeaderTable& e);
  void recall_backend(BackendId id, Row& row, PolicySnapshot& memory);
  void end_care();
  void decide_spill(const std::vector<Event>& reports);
  void share_cuts();
  [[nodiscard]] std::vector<double> parts_of_cut(const Table& table, ZoneId proxies,
                                                 const std::vector<double>& in_table) const;
  [[nodiscard]] spillover::ZoneLatencies trips(const std::vector<Event>& reports);
  [[nodiscard]] TablePtr spilled(TablePtr table, ZoneId proxies);
  [[nodiscard]] std::map<BackendId, double> lines_for(ProxyId forwarder, const Table& table) const;
  [[nodiscard]] TablePtr table_of_group(ProxyId group) const;
  [[nodiscard]] std::string refusal(const OperatorCommand& e) const;
  [[nodiscard]] std::string proxy_name(ProxyId proxy) const;
  void want_tables();
  [[nodiscard]] TablePtr guarded(TablePtr table);
  [[nodiscard]] std::shared_ptr<const DesiredTable> wanted_table(ProxyId forwarder, const Table& table);
  void share_limits();
  void deal_retries();
  void forget_old();
  void heed_absence(BackendId backend);
  void tell_list();
  [[nodiscard]] bool lowered(const Row& row) const;
  void apply(const std::vector<Order>& orders);
  void publish();
  [[nodiscard]] std::vector<Line> standing(OperationId operation) const;
  [[nodiscard]] bool warm(const Row& row) const;
  void note(LogEvent::Severity weight, std::string event,
            std::vector<std::pair<std::string, std::string>> fields);

  Settings s_;
  DecisionMaker decide_;
  std::shared_ptr<const GroupMap> group_map_;
  ReportAggregator evidence_;
  ProxyPresence attendance_{s_};
  Channel channel_{s_};

  Instant now_;
  std::vector<Event> events_;
  Effects out_;
  std::map<std::string, BackendId> ids_;
  std::map<BackendId, Row> rows_;
  std::uint32_t next_id_ = 1;
  std::map<BackendId, SampleFault> doubts_;  // the last of each, so that only a change is logged
  std::set<BackendId> unheard_;              // whose load did not come the last time
  // A step looks at those that something was heard of, not at the fleet: steps come by the hundred a second.
  std::set<BackendId> touched_;
  std::set<BackendId> untold_;  // listed, and the module does not know yet
  std::set<BackendId> absent_;  // whose machine refuses connections
  std::size_t listed_ = 0;
  bool absence_counts_ = true;
  std::optional<Instant> next_warm_;  // when the standing lines next change by themselves
  bool restand_ = true;               // or at once
  std::multimap<Instant, TimerTag> timers_;
  std::optional<Instant> round_at_;
  std::map<TableId, Table> tables_;  // as ordered
  std::map<TableId, TablePtr> versions_;
  std::deque<TablePtr> history_;  // the last versions, for people
  std::set<TableId> frozen_;      // changed since a person holds the decisions
  std::map<ProxyId, TableId> bound_;
  // For forwarders: tables with the guards already in them, since what they hold is not read anew by a front.
  std::map<TableId, std::pair<std::pair<std::uint64_t, std::uint64_t>, TablePtr>> guarded_;
  std::uint64_t guards_ = 0;  // grows when a guard may judge otherwise
  // Tables by zone of proxies, where flows between zones are decided.
  std::optional<spillover::SpilloverPlanner> spill_;
  std::vector<std::vector<double>> parts_of_zones_;
  std::vector<std::vector<int>> turn_to_;
  std::deque<std::vector<spillover::FlowProblem::OperationDemand>> demands_;  // the last rounds'
  std::map<std::pair<TableId, ZoneId>, double> cut_shares_;
  std::map<std::pair<std::size_t, std::size_t>, std::deque<Span>> trips_;  // the last rounds'
  std::vector<bool> tiers_doubted_;
  bool strain_ = false;
  std::uint64_t spill_version_ = 0;
  std::map<std::pair<TableId, ZoneId>, std::pair<std::pair<std::uint64_t, std::uint64_t>, TablePtr>> spilled_;
  std::map<ProxyId, std::uint64_t> holds_, sent_;
  // What was remembered of a backend and waits till it is known which machine has its name now.
  struct Past {
    std::optional<recovery::Fact> ladder, drain, cold;
  };
  std::map<std::string, Past> past_;
  // Forwarders that were taken over, with further tries shut: until when, once that can be told.
  struct Care {
    bool half = false;  // a change was half sent, by all that is known
    std::optional<Instant> until;
  };
  std::map<ProxyId, Care> care_;
  // After a restart with memory: what forwarders were found to hold, which stands till the module has heard
  // enough.
  struct Found {
    std::map<std::string, double> lines;
    Instant until;
  };
  std::map<ProxyId, Found> found_;
  bool own_memory_ = false;
  std::map<ProxyId, bool> half_sent_;  // as other controllers had it
  std::map<ProxyId, Instant> group_seen_;
  std::map<ProxyId, TablePtr> followed_;  // of groups that are led elsewhere
  std::set<ProxyId> led_elsewhere_;
  OperatorOverrides persons_;
  std::optional<Instant> person_next_;
  bool hold_ = false;
  std::optional<Instant> hold_ordered_;
  limits::FleetRateLimit limit_;
  limits::FleetRateLimit::Allocations parts_;
  limits::RetryBudget retries_;
  std::uint64_t table_version_ = 0, view_version_ = 0, publish_version_ = 0;
  bool listed_once_ = false, dirty_ = true;
  std::shared_ptr<const std::map<BackendId, DirectoryEntry>> directory_;
  std::vector<std::vector<Line>> standing_;  // by operation, as last published
  std::map<std::pair<std::uint64_t, OperationId>, std::shared_ptr<const RoutingView>>
      views_;  // by table version
  Counters counters_;
};

}  // namespace gorsemount::coordinator

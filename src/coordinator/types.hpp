// Inputs and outputs of the coordinator's core. No I/O, no clock, no wire format.
#pragma once

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/address.hpp"
#include "policy/policy.hpp"
#include "recovery/facts.hpp"

namespace gorsemount::coordinator {

struct OperationInfo {
  std::string name;  // as in its DNS name
  Effect effect = Effect::side_effecting;
  Span latency_objective, integration_timeout;
  double billed_value = 0;
};

// Clients that share a table; a proxy in the policy's terms. The index in the settings is the ProxyId.
struct Group {
  std::string name;
  ZoneId zone;
  std::vector<Prefix> sources;
  double usual_rate = 0;  // expected invocations per second, until measured
};

// A proxy that is configured through its runtime socket. Its ProxyId is kFirstForwarderId plus its index.
struct Forwarder {
  std::string name;
  ZoneId zone;
  // addresses it calls workers from; workers' counts for these are ignored, since it reports them itself
  std::vector<Prefix> sources;
  double usual_rate = 1;
};
inline constexpr std::uint16_t kFirstForwarderId = 30000;  // above all groups
[[nodiscard]] inline bool is_forwarder(ProxyId proxy) { return proxy.value >= kFirstForwarderId; }

struct Settings {
  std::uint64_t seed = 0;
  ZoneId zone;  // zone of this coordinator
  std::vector<std::string> zones;
  std::vector<OperationInfo> operations;
  std::vector<Group> groups;  // the last one takes all other sources
  std::vector<Forwarder> forwarders;
  bool spill = false;  // distribute traffic between zones by tier (spillover/spillover_planner.hpp)
  std::vector<std::vector<int>> zone_tiers;  // [proxy zone][backend zone]: 0 own, 1 near, 2 far
  double fleet_rate = 0;  // admission limit of all forwarders together, invocations per second; 0: none
  // retry budget: retries per first try of forwarders; 0: only the tables' rules apply
  double retry_share = 0;
  Span retry_window = Span::seconds(10);
  std::vector<Prefix> trusted_resolvers;  // their client subnets are used (RFC 7871)
  bool levels = false;                    // publish admission levels
  Span report_every, late_after;
  double backlog = 0, lines_per_second = 0, per_message = 0;
  int messages_most = 0;
  Span messages_window;
  double coordinators = 1;
  Span keepalive;
  Span unserved, drain_grace, cold_for;
  bool removal_binds = true;
  double cold_from = 0, tip_multiple = 0;
  Span use_after;  // time from receiving an answer until a client last starts to use it
  Span lifetime_most, group_idle;
  int lines_most = 0;      // per SRV answer
  int addresses_most = 0;  // per A or AAAA answer
};

struct RosterEntry {
  std::string name;
  ZoneId zone;
  Endpoint at;
  double weight = 1;
  Availability availability = Availability::ready;
  std::uint32_t operations = ~0U;  // bit k: accepts operation k
  bool operator==(const RosterEntry&) const = default;
};

// Load reported by a worker; counters are totals since its start.
struct LoadSample {
  struct Count {
    OperationId operation;
    Prefix source;
    std::uint64_t taken = 0, succeeded = 0, errored = 0, refused = 0;
    double latency = 0;  // sum over the succeeded ones, s
  };
  std::string boot;   // boot id, different for each start of the process
  double uptime = 0;  // s
  bool draining = false;
  std::optional<double> util, queue;
  std::vector<Count> counts;
};

// ---- Inputs --------------------------------------------------------------------------------------------

struct RosterUpdate {
  std::vector<RosterEntry> entries;  // complete list
};
struct LoadReport {
  BackendId backend;
  Instant requested_at;
  LoadSample sample;
};
struct LoadPollFailed {
  BackendId backend;
  std::string reason;
};
enum class Health { passed, failed, refused };  // refused: nothing listens at the address
struct HealthCheckResult {
  BackendId backend;
  Health health = Health::failed;
  Span latency;
};
struct GroupLookup {
  ProxyId group;
};
struct ForwarderJoined {
  ProxyId forwarder;
  bool taken_over = false;  // led by another controller before, or possibly so
  std::map<std::string, double> current_weights =
      {};  // weights in use at the forwarder when it was connected, by backend
};
struct ForwarderLeft {
  ProxyId forwarder;
};
// Counts of a forwarder since its last report.
struct ForwarderReport {
  ProxyId forwarder;
  struct Row {
    BackendId backend;
    OperationId operation;
    int tries = 0, errored = 0;
    Span mean_latency;
  };
  std::vector<Row> rows;
  std::vector<std::pair<OperationId, int>> arrived;
  int further = 0;  // tries beyond the first of an invocation, all operations together
};
// The forwarder has confirmed that it uses this version of its table.
struct ForwarderAppliedTable {
  ProxyId forwarder;
  std::uint64_t version = 0;
};
// An operator's order. It is rejected with a reason, or in force until its lifetime ends.
struct OperatorCommand {
  enum class Action {
    set_weight,
    drain_zone,
    undrain_zone,
    disable,
    enable,
    hold,
    release
  } action = Action::hold;
  std::string name;  // of a backend or a zone
  double weight = 0;
  Span lifetime;
  bool force = false;  // drain the zone even if the other zones have not shown enough spare capacity
};
// Facts from an earlier run or from another controller, as far as they are accepted
// (recovery/fact_confidence.hpp).
struct FactsReceived {
  std::vector<recovery::Entry> facts;
  // from this coordinator's own earlier run: its forwarders still have the tables it ordered
  bool from_previous_run = false;
};
// Whether this controller leads a group. Without a cluster it leads all groups.
struct GroupLeadership {
  ProxyId group;
  bool locally_led = true;
};
// Table of a group that is led by another controller. If not fresh, the leader is not reachable: the last
// table stays in force, except that unusable backends are removed, and no weight is raised.
struct LeaderTable {
  ProxyId group;
  bool fresh = false;
  std::map<std::string, double> lines;         // by backend
  std::vector<std::pair<int, double>> levels;  // tries and level, by operation
};
// Settings that a reload may change without losing state: groups, lifetimes, sizes of answers.
struct SettingsReloaded {
  Settings settings;
};
using Input =
    std::variant<RosterUpdate, LoadReport, LoadPollFailed, HealthCheckResult, GroupLookup, SettingsReloaded,
                 ForwarderJoined, ForwarderLeft, ForwarderReport, ForwarderAppliedTable, OperatorCommand,
                 FactsReceived, GroupLeadership, LeaderTable>;

// ---- Published state: immutable, replaced as a whole -----------------------------------------------------

struct Line {
  BackendId backend;
  double weight = 0;
  int tier = 0;  // 0: primary; higher tiers are used only if the lines of lower tiers fail
  bool operator==(const Line&) const = default;
};
struct AdmissionLevel {
  RetryPolicy tries = RetryPolicy::if_unprocessed;
  double level = 1;
  bool operator==(const AdmissionLevel&) const = default;
};
// What the clients of a group use for an operation. One line for each backend, with a weight above 0.
struct RoutingView {
  std::uint64_t version = 0;  // unique among the views of one coordinator
  OperationId operation;
  std::vector<Line> lines;
  AdmissionLevel level;
};
struct DirectoryEntry {
  std::string name;
  Endpoint at;
  ZoneId zone;
  bool accepts_new_work = true;  // neither draining nor gone
  bool operator==(const DirectoryEntry&) const = default;
};
struct PublishedState {
  std::uint64_t version = 0;
  std::shared_ptr<const std::map<BackendId, DirectoryEntry>> directory;
  std::vector<std::vector<std::shared_ptr<const RoutingView>>> views;  // by group, then by operation
  Span lifetime;                                                       // time to live of answers
};

// ---- Effects -------------------------------------------------------------------------------------------

// A log entry: the name of the event and its fields.
struct LogEvent {
  enum class Severity { info, warning } severity = Severity::info;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};
// An update sent to the clients of a group, for the records.
struct Message {
  ProxyId group;
  double lines = 0;    // including the overhead per message
  double waiting = 0;  // backlog of the channel, including this message
};
// Desired state of a forwarder, one entry for each operation. The driver computes the difference to the state
// that the forwarder has.
struct DesiredLine {
  BackendId backend;
  std::string name;
  Endpoint at;
  double weight = 0;  // above 0
  bool cold = false;
};
struct DesiredTable {
  std::uint64_t version = 0;
  struct Operation {
    std::string operation;
    std::vector<DesiredLine> lines;
    AdmissionLevel level;
    double rate_limit = -1;  // admission limit, invocations per second; below 0: none
  };
  std::vector<Operation> operations;
  double retry_ratio = -1;  // retry budget: retries per first try; below 0: only the levels' rules apply
  std::vector<std::string> known_backends;  // names of all backends in the roster
};
struct Delivery {
  ProxyId forwarder;
  std::shared_ptr<const DesiredTable> table;
};
struct Effects {
  std::shared_ptr<const PublishedState> published;  // null: unchanged
  std::vector<LogEvent> log_events;
  std::vector<Message> messages;
  std::vector<Delivery> deliveries;
  std::vector<std::string> command_results;  // results of operators' orders, in input order; empty: accepted
  Instant next_wakeup;                       // call step() again by then, even without input
};

}  // namespace gorsemount::coordinator

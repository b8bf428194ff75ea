// What the coordinator's core is told, and what it hands out. No I/O, no clock, no wire.
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

// Clients that are led alike: what the module calls a proxy. Its place in the settings is its ProxyId.
struct Group {
  std::string name;
  ZoneId zone;
  std::vector<Prefix> sources;
  double usual_rate = 0;  // invocations a second, till it is known better
};

// A plain proxy with a runtime socket. Its ProxyId is kFirstForwarderId and its place.
struct Forwarder {
  std::string name;
  ZoneId zone;
  std::vector<Prefix> sources;  // from which it calls workers: what they count of it, it reports itself
  double usual_rate = 1;
};
inline constexpr std::uint16_t kFirstForwarderId = 30000;  // above all groups
[[nodiscard]] inline bool is_forwarder(ProxyId proxy) { return proxy.value >= kFirstForwarderId; }

struct Settings {
  std::uint64_t seed = 0;
  ZoneId zone;  // where this coordinator stands
  std::vector<std::string> zones;
  std::vector<OperationInfo> operations;
  std::vector<Group> groups;  // the last one takes whoever fits nowhere else
  std::vector<Forwarder> forwarders;
  bool spill = false;  // flows by tiers of preference between zones (spillover/spillover_planner.hpp)
  std::vector<std::vector<int>> zone_tiers;  // [proxy zone][backend zone]: 0 own, 1 near, 2 far
  double fleet_rate = 0;   // invocations a second that all forwarders together let in; 0: any
  double retry_share = 0;  // of first tries that forwarders may try again; 0: as the tables say
  Span retry_window = Span::seconds(10);
  std::vector<Prefix> trusted_resolvers;  // whose word on a client's subnet counts (RFC 7871)
  bool levels = false;                    // admission levels are published
  Span report_every, late_after;
  double backlog = 0, lines_per_second = 0, per_message = 0;
  int messages_most = 0;
  Span messages_window;
  double coordinators = 1;
  Span keepalive;
  Span unserved, drain_grace, cold_for;
  bool removal_binds = true;
  double cold_from = 0, tip_multiple = 0;
  Span use_after;  // from a client's receipt of an answer to its last first use of it
  Span lifetime_most, group_idle;
  int lines_most = 0;      // of one SRV answer
  int addresses_most = 0;  // of one A or AAAA answer
};

struct RosterEntry {
  std::string name;
  ZoneId zone;
  Endpoint at;
  double weight = 1;
  Availability availability = Availability::ready;
  std::uint32_t operations = ~0U;  // bit k: open to operation k
  bool operator==(const RosterEntry&) const = default;
};

// A worker's own word on its load: counters since its start.
struct LoadSample {
  struct Count {
    OperationId operation;
    Prefix source;
    std::uint64_t taken = 0, succeeded = 0, errored = 0, refused = 0;
    double latency = 0;  // of the succeeded ones together, s
  };
  std::string boot;   // differs between two starts
  double uptime = 0;  // s
  bool draining = false;
  std::optional<double> util, queue;
  std::vector<Count> counts;
};

// ---- Inputs --------------------------------------------------------------------------------------------

struct RosterUpdate {
  std::vector<RosterEntry> entries;  // the whole list
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
enum class Health { passed, failed, refused };  // refused: nothing listens at its address
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
  bool taken_over = false;  // another controller led it before, or may have
  std::map<std::string, double> current_weights =
      {};  // weights of the backends that it picks, as it was found
};
struct ForwarderLeft {
  ProxyId forwarder;
};
// What a forwarder met since its last report.
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
  int further = 0;  // tries beyond the first of an invocation, of all operations
};
// It holds a version of its table, by its own answer.
struct ForwarderAppliedTable {
  ProxyId forwarder;
  std::uint64_t version = 0;
};
// What a person orders. Refused with a reason, or in force till its lifetime is over.
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
  bool force = false;  // of a zone's drain: even if the others have not shown room for its work
};
// What another life or another controller knew, so far as it is believed (recovery/fact_confidence.hpp).
struct FactsReceived {
  std::vector<recovery::Entry> facts;
  bool from_previous_run = false;  // of this coordinator's life before: its forwarders hold what it ordered
};
// In a shared fleet: whether this controller leads a group. Alone, all are led.
struct GroupLeadership {
  ProxyId group;
  bool locally_led = true;
};
// What the leader of a group that is led elsewhere has it use. Not fresh: nothing is heard of a leader; what
// stands is kept then, less what rules force, and nothing is raised.
struct LeaderTable {
  ProxyId group;
  bool fresh = false;
  std::map<std::string, double> lines;         // by backend
  std::vector<std::pair<int, double>> levels;  // tries and level, by operation
};
// What a reload may change while state is kept: groups, lifetimes, sizes of answers.
struct SettingsReloaded {
  Settings settings;
};
using Input =
    std::variant<RosterUpdate, LoadReport, LoadPollFailed, HealthCheckResult, GroupLookup, SettingsReloaded,
                 ForwarderJoined, ForwarderLeft, ForwarderReport, ForwarderAppliedTable, OperatorCommand,
                 FactsReceived, GroupLeadership, LeaderTable>;

// ---- What is published: immutable, swapped whole --------------------------------------------------------

struct Line {
  BackendId backend;
  double weight = 0;
  int tier = 0;  // 0: work is meant to go there; else only where lines of lower tiers fail
  bool operator==(const Line&) const = default;
};
struct AdmissionLevel {
  RetryPolicy tries = RetryPolicy::if_unprocessed;
  double level = 1;
  bool operator==(const AdmissionLevel&) const = default;
};
// What a group's clients are to use for an operation. Lines by backend, each above 0.
struct RoutingView {
  std::uint64_t version = 0;  // differs between any two views of one coordinator
  OperationId operation;
  std::vector<Line> lines;
  AdmissionLevel level;
};
struct DirectoryEntry {
  std::string name;
  Endpoint at;
  ZoneId zone;
  bool accepts_new_work = true;  // may get new work: neither draining nor gone
  bool operator==(const DirectoryEntry&) const = default;
};
struct PublishedState {
  std::uint64_t version = 0;
  std::shared_ptr<const std::map<BackendId, DirectoryEntry>> directory;
  std::vector<std::vector<std::shared_ptr<const RoutingView>>> views;  // by group, then by operation
  Span lifetime;                                                       // what an answer may be kept for
};

// ---- Effects -------------------------------------------------------------------------------------------

// For the log: an event's name and what belongs to it.
struct LogEvent {
  enum class Severity { info, warning } severity = Severity::info;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};
// A message that left for a group's clients, for the records.
struct Message {
  ProxyId group;
  double lines = 0;    // with its own overhead
  double waiting = 0;  // in the channel, this message included
};
// What a forwarder is to hold, one entry an operation. A front works out the difference to what it does hold.
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
    double rate_limit = -1;  // invocations a second that it may let in; below 0: any
  };
  std::vector<Operation> operations;
  double retry_ratio = -1;  // of its first tries, that it may try again; below 0: as the levels say
  std::vector<std::string> known_backends;  // names of all backends that there are
};
struct Delivery {
  ProxyId forwarder;
  std::shared_ptr<const DesiredTable> table;
};
struct Effects {
  std::shared_ptr<const PublishedState> published;  // absent: as before
  std::vector<LogEvent> log_events;
  std::vector<Message> messages;
  std::vector<Delivery> deliveries;
  std::vector<std::string> command_results;  // to what persons ordered, in their order; empty: done
  Instant next_wakeup;                       // step again by then, even with no input
};

}  // namespace gorsemount::coordinator

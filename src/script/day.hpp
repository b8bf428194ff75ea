// A test scenario: the fleet, its load, and the faults injected over time. One HCL file, read both by the
// program that runs the scenario and by the stand-ins.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/reader.hpp"
#include "coordinator/types.hpp"
#include "core/address.hpp"
#include "core/time.hpp"

namespace gorsemount::script {

struct DayOperation {
  std::string name, effect;
  double share = 1;
  Span work, latency_objective, integration_timeout;
  double billed_value = 1;
  [[nodiscard]] bool may_repeat() const { return effect == "idempotent"; }
};
struct DayWorkers {
  std::string zone;
  int count = 0;
  double cores = 2;
  double speed = 1;
  int queue_most = 64;  // further invocations are rejected before they begin
  int slots = 0;        // concurrent invocations, sharing the cores evenly; 0: one a core
  Span connect_cost;    // work that a new connection takes
  double loss = 0;      // of efficiency, for each multiple of the cores that runs concurrently
  bool cancels = true;  // an invocation cancelled while queued is never begun
};
struct DayClients {
  std::string zone;
  int count = 0;
  double rate = 1;        // invocations a second, each
  double by_address = 0;  // the share that looks up address records instead of SRV records
  int disobedient = 0;    // number that cache answers for ten times their TTL
};
struct Phase {
  std::string name;
  Span at;
  double rate = 1;  // multiple of the normal rate
};
struct DayForwarders {
  std::string zone;
  int count = 0, clients = 0;  // clients: callers of these forwarders, assigned round-robin
  double rate = 1;             // invocations a second, each client
  bool two_choice = false;
};
enum class InjectedFaultKind {
  crash,
  hang,
  errors,
  slow,
  silent,
  refuse,
  drain,
  // Faults of forwarders.
  forwarder_restart,
  forwarder_refuse,
  forwarder_slow,
  forwarder_lie,
  forwarder_half,
  streams,
  // Faults of links, the roster and workers' reports.
  cut_link,
  slow_link,
  stale_list,
  late_reports,
  ageing,
  false_reports
};
struct InjectedFault {
  std::string name, zone;  // zone empty: all zones
  std::string to;          // of links: the other zone; empty: all other zones
  bool one_way = false;    // of links: only in the direction from `zone`
  InjectedFaultKind kind = InjectedFaultKind::crash;
  Span at, lasts;
  int count = 0;  // the first healthy workers of the zone; 0: the share `part` of them
  double part = 1;
  // slow, ageing: slowdown factor; slow_link, late_reports: s; false_reports: factor on the true utilization
  double size = 1;
};
struct CoordinatorOutage {
  std::string coordinator;
  Span at, lasts;
  bool pause = false;    // suspended (SIGSTOP) and resumed instead of killed
  bool planned = false;  // stopped with SIGTERM, so that it first hands over its leases
};
// A command that an operator gives to all coordinators.
struct ScriptedCommand {
  std::string text;  // as typed at the operators' socket
  Span at;
  coordinator::OperatorCommand command;
};
// Commands cut off at seeded byte offsets: the sender is killed, or suspended and resumed, while the rest is
// in flight.
struct CommandCuts {
  int count = 0;
  Span first, every, lasts;
  int bytes_most = 0;  // highest offset, counted from the start of the first command
  bool pause = false;
};
// Safeguards that a test disables, to check that the auditor finds the violation.
struct DisabledSafeguards {
  bool repeat_all = false;     // clients retry every failed invocation
  bool drain_untold = false;   // the roster never announces a drain
  bool no_fence = false;       // forwarders accept commands of any term
  bool fixed_weights = false;  // the coordinator keeps the weights of the roster
  bool no_ramp = false;        // no slow start: cold workers are configured with full capacity
  double backlog_judged = 0;   // the auditor's limit if it differs; 0: the configured one
};

struct Day {
  std::string name, origin;
  std::uint64_t seed = 1;
  Span length, settle;  // settle: final period without new invocations
  std::vector<std::string> zones;
  std::vector<DayOperation> operations;
  std::vector<DayWorkers> workers;
  std::vector<DayClients> clients;
  std::vector<DayForwarders> forwarders;
  double fleet_rate = 0;
  std::vector<Phase> phases;
  std::vector<InjectedFault> troubles;
  std::vector<std::string> coordinators;  // their zones; names are pwani-N, in this order
  std::vector<CoordinatorOutage> kills;
  std::vector<ScriptedCommand> operator_commands;
  CommandCuts cuts;
  Span churn;  // interval at which roster weights change; 0: never
  Span drain_grace, cold_for, unserved, tip_after;
  double cold_from = 0.2, tip_multiple = 3, backlog = 4000, lines_per_second = 4000;
  int messages_most = 0;
  Span messages_window;
  bool levels = false;
  bool spill = false;                                    // spillover by tiers
  std::map<std::string, std::vector<std::string>> near;  // by zone
  bool record = false;                                   // coordinators write recordings
  bool keeps = false;   // coordinators keep a store and restore state from it
  bool shared = false;  // the coordinators form a cluster that shares the forwarders, with takeover
  Span lease;
  DisabledSafeguards unsafe;
};

// Parses a scenario; errors go to `findings`, and the result is valid only if there are none.
[[nodiscard]] Day read_day(const std::string& text, const std::string& file, config::Findings& findings);

// The loopback addresses of one run. `octet`: the second byte of all its addresses, 10 to 200; runs whose
// octets differ by 10 or more don't overlap.
struct AddressPlan {
  unsigned octet = 10;
  [[nodiscard]] Endpoint worker(std::size_t zone,
                                std::size_t number) const;  // 127.octet.zone+1.number, 250 a port
  [[nodiscard]] Address client(std::size_t zone, std::size_t number) const;  // 127.octet+1+zone.0.number
  [[nodiscard]] Endpoint coordinator(std::size_t number) const;              // 127.octet.0.number
  // A forwarder led by coordinator number `led_by`: 127.octet+1+zone.led_by.number, so that all forwarders of
  // a /24 have the same leader.
  [[nodiscard]] Address forwarder(std::size_t zone, std::size_t led_by, std::size_t number) const;
  [[nodiscard]] Prefix clients_of(std::size_t zone) const;
};

struct ForwarderInstance {
  std::string name, zone;
  std::size_t led_by = 1;
  Address at;
  DayForwarders kind;
};
[[nodiscard]] std::vector<ForwarderInstance> forwarders_of(const Day& day, const AddressPlan& places);
[[nodiscard]] std::string worker_name(const Day& day, std::size_t zone, std::size_t number);
// The text of one coordinator's settings file.
[[nodiscard]] std::string coordinator_settings(const Day& day, const AddressPlan& places, std::size_t number,
                                               const std::string& folder);
struct RosterLine {
  std::string name, zone;
  Endpoint at;
  double weight = 1;
  bool draining = false;
};
[[nodiscard]] std::string roster_text(const std::vector<RosterLine>& lines);
[[nodiscard]] std::vector<RosterLine> roster_of(const Day& day, const AddressPlan& places);

}  // namespace gorsemount::script

// The stand-ins use the scenario's types unqualified.
namespace gorsemount::standins {
using namespace script;  // NOLINT: the namespaces share their types
}

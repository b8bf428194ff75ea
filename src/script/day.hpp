// A scripted day: who is there, what comes, what goes wrong and when. One HCL file, read by the program that
// plays it and by the stand-ins alike.
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
  int queue_most = 64;  // more waiting are refused before they begin
  int slots = 0;        // worked on at once, with the cores shared evenly; 0: as many as cores
  Span connect_cost;    // of a new connection, in work
  double loss = 0;      // of efficiency, for each further core's worth of invocations at once
  bool cancels = true;  // what was given up before it began is never begun
};
struct DayClients {
  std::string zone;
  int count = 0;
  double rate = 1;        // invocations a second, each
  double by_address = 0;  // the part that looks up addresses in place of SRV records
  int disobedient = 0;    // that keep answers ten times too long
};
struct Phase {
  std::string name;
  Span at;
  double rate = 1;  // times the usual
};
struct DayForwarders {
  std::string zone;
  int count = 0, clients = 0;  // clients: that call these, one forwarder each, in turn
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
  // of forwarders
  forwarder_restart,
  forwarder_refuse,
  forwarder_slow,
  forwarder_lie,
  forwarder_half,
  streams,
  // of the rest
  cut_link,
  slow_link,
  stale_list,
  late_reports,
  ageing,
  false_reports
};
struct InjectedFault {
  std::string name, zone;  // zone empty: all
  std::string to;          // of links: the other zone; empty: all others
  bool one_way = false;    // of links: only from `zone`
  InjectedFaultKind kind = InjectedFaultKind::crash;
  Span at, lasts;
  int count = 0;  // workers of the zone, the first that are well; 0: by part
  double part = 1;
  double size =
      1;  // slow, ageing: times slower; slow_link, late_reports: s; false_reports: times the true use
};
struct Kill {
  std::string coordinator;
  Span at, lasts;
  bool pause = false;    // it stands still (SIGSTOP) and wakes, in place of being killed
  bool planned = false;  // it is asked to stop (SIGTERM), and hands over what it leads first
};
// What a person orders of all coordinators.
struct ScriptedCommand {
  std::string text;  // as at the operators' socket
  Span at;
  coordinator::OperatorCommand command;
};
// Orders cut at seeded byte offsets: the sender is killed, or stands still and wakes, while the rest is on
// its way.
struct Cuts {
  int count = 0;
  Span first, every, lasts;
  int bytes_most = 0;  // the offset is from 0 to this, from the first order on
  bool pause = false;
};
// Guards that a test switches off, so that the auditor has something to find.
struct Unsafe {
  bool repeat_all = false;     // clients repeat whatever failed
  bool drain_untold = false;   // the roster never says that a worker drains
  bool no_fence = false;       // forwarders take orders under any term
  bool fixed_weights = false;  // the coordinator does not decide
  bool no_ramp = false;        // it is told that a cold worker can do what a warm one can
  double backlog_judged = 0;   // the auditor's limit, where it is to differ; 0: the settings'
};

struct Day {
  std::string name, origin;
  std::uint64_t seed = 1;
  Span length, settle;  // settle: at the end no new work comes
  std::vector<std::string> zones;
  std::vector<DayOperation> operations;
  std::vector<DayWorkers> workers;
  std::vector<DayClients> clients;
  std::vector<DayForwarders> forwarders;
  double fleet_rate = 0;
  std::vector<Phase> phases;
  std::vector<InjectedFault> troubles;
  std::vector<std::string> coordinators;  // zones they stand in; the name is pwani-N in order
  std::vector<Kill> kills;
  std::vector<ScriptedCommand> operator_commands;
  Cuts cuts;
  Span churn;  // listed weights move that often; 0: never
  Span drain_grace, cold_for, unserved, tip_after;
  double cold_from = 0.2, tip_multiple = 3, backlog = 4000, lines_per_second = 4000;
  int messages_most = 0;
  Span messages_window;
  bool levels = false;
  bool spill = false;                                    // flows by tiers
  std::map<std::string, std::vector<std::string>> near;  // by zone
  bool record = false;                                   // coordinators write recordings
  bool keeps = false;                                    // coordinators keep a store, and recall it
  bool shared = false;  // the coordinators share the forwarders and take over from one another
  Span lease;
  Unsafe unsafe;
};

// Reads a day; faults go to `findings`, and the day is only of use without any.
[[nodiscard]] Day read_day(const std::string& text, const std::string& file, config::Findings& findings);

// Where things stand on loopback. `octet`: the second byte of all addresses of one run, 10 to 200; runs whose
// octets differ by 10 or more don't meet.
struct AddressPlan {
  unsigned octet = 10;
  [[nodiscard]] Endpoint worker(std::size_t zone,
                                std::size_t number) const;  // 127.octet.zone+1.number, 250 a port
  [[nodiscard]] Address client(std::size_t zone, std::size_t number) const;  // 127.octet+1+zone.0.number
  [[nodiscard]] Endpoint coordinator(std::size_t number) const;              // 127.octet.0.number
  // Of the forwarders that coordinator `led_by` leads: 127.octet+1+zone.led_by.number, so that a /24 is led
  // by one.
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
// The settings file of one coordinator, and the roster.
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

// Stand-ins speak of a day's words as their own.
namespace gorsemount::standins {
using namespace script;  // NOLINT: one vocabulary for the script and those who play it
}

// A scripted day under a virtual clock: workers, links, forwarders and DNS clients of our own make, led by
// the very coordinators that run in service. Discrete events, drawn by a seed; no wall clock, no thread. The
// same day is played on loopback by the stand-ins; what the two differ in is measured (docs/replay.md).
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordinator/coordinator.hpp"
#include "recovery/facts.hpp"
#include "script/day.hpp"

namespace gorsemount::lab {

// What decides. The oracle knows at every moment what each worker can do, and every proxy holds that at once:
// as good as weights without tiers can be.
enum class DecisionMakerKind { policy, fixed_weights, zone_local, oracle };

struct SimulationSettings {
  std::uint64_t seed = 1;
  DecisionMakerKind decision_maker = DecisionMakerKind::policy;
  // Settings of a coordinator, by its number from 1; absent: those that the day implies.
  std::function<coordinator::Settings(std::size_t number)> settings;
  Span latency = Span::seconds(0.0002);  // one way, within a zone
  Span latency_across = Span::seconds(0.0005);
  double clock_drift = 0;             // of each coordinator's clock, at most half of it either way
  Span gather = Span::seconds(0.02);  // inputs of that time are stepped together
  Span load_every, health_every;      // zero: as a coordinator does in service
  // In service nothing outlasts a coordinator that is killed, unless it keeps a store: what it knew when it
  // last wrote.
  bool keep_store = false;
  Span written_every = Span::seconds(1);
  // Each step of a coordinator, as it is made: for recordings and for checks.
  std::function<void(std::size_t number, Instant local, const std::vector<coordinator::Input>&,
                     const coordinator::Effects&)>
      on_step;
  // Random faults on top of the day's, for simulations: kills, pauses, cuts, losses, slow links among
  // controllers.
  int random_faults = 0;
  Span warm_up;                   // what came earlier only warms the day up: it is in no tally
  bool list_completions = false;  // invocations, one by one
  bool fencing = true;
};

struct Tally {
  double offered_value = 0, value_in_time = 0;  // billed value
  std::uint64_t invocations = 0, succeeded = 0, late = 0, errored = 0, rate_limited = 0, no_line = 0;
  [[nodiscard]] double service() const { return offered_value > 0 ? value_in_time / offered_value : 1; }
  void add(const Tally& o);
};

struct Outcome {
  Tally whole;
  std::vector<Tally> by_operation, by_zone;          // zone: of whoever asked
  std::vector<Tally> by_ten_seconds;                 // for each 10 s
  std::vector<std::pair<double, double>> by_second;  // billed value asked for, and answered in time
  // Rules: the worst that was met. Beside each its limit stands in the day.
  double longest_unserved = 0;          // s that a joined forwarder, or a client, had nobody to pick
  int duplicate_effects = 0;            // side-effecting invocations that began more than once
  double longest_send_after_drain = 0;  // s after the telling, by obedient senders
  double worst_cold_overload = 0;       // times the capacity
  int fell = 0;
  double most_waiting_lines = 0;           // lines in a channel
  std::uint64_t stale_terms_accepted = 0;  // orders of a lower term than one that was obeyed before
  std::uint64_t double_leaders = 0;        // moments in which two led one shard
  [[nodiscard]] std::vector<std::string> broken_rules(const script::Day& day) const;
  // What else is told of the day.
  std::uint64_t cross_zone_tries = 0, tries = 0, retries = 0, stale_terms_rejected = 0, takeovers = 0,
                partial_batches = 0;
  std::uint64_t cluster_bytes = 0;
  std::vector<double> leaderless_times;                // s, each time that a forwarder had no leader
  std::map<std::string, std::vector<double>> latency;  // of succeeded ones by worker, a sample
  std::vector<std::uint64_t> arrivals_by_worker;
  // Each that ended, if asked for: when it came, how long it took, where it last went, and how it ended.
  struct Completion {
    double start = 0, latency = 0;
    std::uint8_t operation = 0, outcome = 0, tries = 0;
    std::uint16_t proxy = 0, worker = 65535;
  };
  std::vector<Completion> completions;
  struct SecondSample {  // each second
    double at = 0;
    std::vector<double>
        weight_by_zone;                 // of all lines in force, by zone, of the first coordinator that is up
    std::vector<double> tries_by_zone;  // a second
    std::vector<std::string> warnings;
  };
  std::vector<SecondSample> samples;
  [[nodiscard]] double worst_ten_seconds() const;
  double moved_load =
      0;  // of all work, from zone to zone: what forwarders' tables moved, 1 being all of it once
};

class Simulation {
 public:
  Simulation(const script::Day& day, SimulationSettings settings);
  ~Simulation();
  [[nodiscard]] Outcome run();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// The settings that `gorsemount serve` would be started with on such a day.
[[nodiscard]] coordinator::Settings settings_of(const script::Day& day, std::size_t number);

}  // namespace gorsemount::lab

// Discrete-event simulation of a scripted day: modelled workers, links, forwarders and DNS clients,
// controlled by the same coordinator code that runs in service. It is deterministic for a seed and uses no
// wall clock and no threads. The stand-in processes play the same day on loopback; docs/replay.md compares
// the two.
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

// Chooses the weights. The oracle knows each worker's present capacity and every proxy applies it at once,
// which is the best that weights without tiers can do.
enum class DecisionMakerKind { policy, fixed_weights, zone_local, oracle };

struct SimulationSettings {
  std::uint64_t seed = 1;
  DecisionMakerKind decision_maker = DecisionMakerKind::policy;
  // Settings of a coordinator, by its number from 1. If unset, they follow from the day.
  std::function<coordinator::Settings(std::size_t number)> settings;
  Span latency = Span::seconds(0.0002);  // one way, within a zone
  Span cross_zone_latency = Span::seconds(0.0005);
  double clock_drift = 0;                   // range of the coordinators' clock rates around 1
  Span input_window = Span::seconds(0.02);  // inputs within this time share one step
  Span load_interval, health_interval;      // zero: as in service
  // Whether a restarted coordinator recovers the facts that it last wrote to its store.
  bool keep_store = false;
  Span store_interval = Span::seconds(1);
  // Called after each coordinator step, for recordings and checks.
  std::function<void(std::size_t number, Instant local, const std::vector<coordinator::Input>&,
                     const coordinator::Effects&)>
      on_step;
  // Number of random faults beside the day's own: stopped or paused coordinators, and cut, lossy or slow
  // links between them.
  int random_faults = 0;
  Span warm_up;                   // invocations that start earlier are not tallied
  bool list_completions = false;  // fills Outcome::completions
  bool fencing = true;            // forwarders reject batches of a lower term
};

// Counts of invocations by how they ended.
struct Tally {
  double offered_value = 0, value_in_time = 0;  // billed value
  std::uint64_t invocations = 0, succeeded = 0, late = 0, errored = 0, rate_limited = 0, no_line = 0;
  [[nodiscard]] double service() const { return offered_value > 0 ? value_in_time / offered_value : 1; }
  void add(const Tally& other);
};

struct Outcome {
  Tally whole;
  std::vector<Tally> by_operation, by_zone;  // by_zone: the caller's zone
  std::vector<Tally> by_ten_seconds;
  std::vector<std::pair<double, double>> by_second;  // billed value: offered, completed in time
  // The worst case for each rule; the day holds the limits.
  double longest_unserved = 0;             // seconds that a led forwarder or a client group had no worker
  int duplicate_effects = 0;               // repeated executions of side-effecting invocations
  double longest_send_after_drain = 0;     // seconds after the drain began, by senders that honor lifetimes
  double worst_cold_overload = 0;          // arriving work relative to a cold worker's capacity
  int collapses = 0;                       // of cold workers, from overload
  double most_waiting_lines = 0;           // most lines queued in one channel
  std::uint64_t stale_terms_accepted = 0;  // batches applied after one of a higher term
  std::uint64_t double_leaders = 0;        // checks that found two leaders of one shard
  [[nodiscard]] std::vector<std::string> broken_rules(const script::Day& day) const;
  // Other figures.
  std::uint64_t cross_zone_tries = 0, tries = 0, retries = 0, stale_terms_rejected = 0, takeovers = 0,
                partial_batches = 0;
  std::uint64_t cluster_bytes = 0;
  std::vector<double> leaderless_times;  // seconds that a forwarder was without a leader, each time
  std::map<std::string, std::vector<double>>
      latency;  // seconds, by last worker; the first succeeded invocations
  std::vector<std::uint64_t> arrivals_by_worker;
  // A completed invocation; times in seconds, `worker` is the last one tried and 65535 if there was none.
  struct Completion {
    double start = 0, latency = 0;
    std::uint8_t operation = 0, outcome = 0, tries = 0;
    std::uint16_t proxy = 0, worker = 65535;
  };
  std::vector<Completion> completions;
  struct SecondSample {  // taken every second
    double at = 0;
    std::vector<double> weight_by_zone;  // sum of weights at the first coordinator that is up
    std::vector<double> tries_by_zone;   // that arrived in this second
    std::vector<std::string> warnings;
  };
  std::vector<SecondSample> samples;
  [[nodiscard]] double worst_ten_seconds() const;
  double moved_load = 0;  // load that table changes moved between zones, as a multiple of all forwarded load
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

// The settings with which `gorsemount serve` runs on this day.
[[nodiscard]] coordinator::Settings settings_for_coordinator(const script::Day& day, std::size_t number);

}  // namespace gorsemount::lab

#include "lab/simulation/simulation.hpp"

#include <algorithm>
#include <climits>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <set>

#include "config/settings.hpp"
#include "coordinator/answer_sampling.hpp"
#include "coordinator/baseline.hpp"
#include "forwarders/plan.hpp"
#include "lab/simulation/worker_model.hpp"
#include "limits/retry_limiter.hpp"
#include "recovery/fact_confidence.hpp"
#include "shared_fleet/cluster_adapter.hpp"

namespace gorsemount::lab {

using coordinator::Coordinator;
using coordinator::Input;
using script::Day;
using script::InjectedFault;
using script::InjectedFaultKind;

namespace {

// These match the stand-in processes (standins/client.cpp, standins/forwarder.cpp); a test compares the two.
constexpr double kClientTryTimeoutShare = 0.7;  // of the integration timeout, for one client try
constexpr double kForwarderTimeoutShare = 0.8;  // of it, for all tries of a forwarder
constexpr double kRetryCutoffShare = 0.6;       // of it, after which a forwarder starts no retry
constexpr int kFailuresToEject = 4;             // consecutive ones before a forwarder ejects a worker
const Span kEjectionTime = Span::seconds(3);
const Span kLineApplyTime = Span::seconds(40e-6);  // blocks the forwarder for each line of a batch
const Span kDnsTimeout = Span::seconds(0.3);       // after which a client asks the next DNS server
constexpr double kDisobedientLifetimeFactor = 10;  // multiple of the lifetime that some keep answers for
const Span kMaxRosterDelay = Span::seconds(0.5);   // until a coordinator reads a changed roster
const Span kHealthRetryDelay = Span::seconds(0.06), kHealthTimeout = Span::seconds(0.8);
const Span kFactExchangeInterval = Span::seconds(0.25);
const Span kStartupTime =
    Span::seconds(1.5);  // coordinators start this long before the day, as they do on loopback
constexpr std::size_t kPollBuckets = 10;  // load polls are spread over the interval in this many groups
constexpr std::size_t kLatencySamplesPerWorker = 400;

enum class EventType : std::uint8_t {
  request_due,
  lookup_done,
  try_arrives,
  reply_arrives,
  try_timeout,
  caller_timeout,
  job_finish,
  load_poll,
  health_retry,
  health_timeout,
  core_step,
  core_wakeup,
  report_due,
  stream_open,
  batch_arrives,
  batch_acknowledged,
  message_arrives,
  cluster_tick,
  fact_exchange,
  process_fault,
  fault_start,
  fault_end,
  process_stop,
  process_restart,
  phase_start,
  roster_update,
  second_tick,
  weight_churn,
  random_fault,
  store_write,
  rule_check,
  operator_command
};
enum class Reply : std::uint32_t { succeeded, refused, errored, no_reply };

// `target` is the index of what the event concerns. `detail` and `guard` hold a second index, a reply, or the
// generation or incarnation that must still be current when the event is due.
struct Event {
  std::int64_t at = 0;
  std::uint64_t sequence = 0;
  EventType type = EventType::request_due;
  std::uint32_t target = 0, detail = 0, guard = 0;
  bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : sequence > other.sequence;
  }
};

// `generation` changes with each try and `caller_generation` with each try of the caller, so that late events
// are ignored. A forwarder makes `worker_tries` for each of `caller_tries`; a DNS client has only the former.
struct Invocation {
  bool open = false;
  std::uint8_t operation = 0, caller_tries = 0, worker_tries = 0, executions = 0, tried_count = 0;
  std::uint32_t proxy = 0, generation = 0, caller_generation = 0, worker = 0;
  std::array<std::uint16_t, 6> tried{};
  float work = 1;  // relative to the operation's mean
  Instant started_at, forwarded_at;
};

// An entry of a cumulative weight list, from which workers are drawn.
struct WeightedWorker {
  std::uint32_t worker = 0;
  double cumulative_weight = 0;
};

// A forwarder together with its callers, or a client that resolves workers over DNS itself.
struct Proxy {
  bool forwarder = false, two_choice = false, by_address = false, honors_lifetime = true;
  std::size_t zone = 0, led_by = 1, first_dns_server = 0;
  double rate = 0;
  std::mt19937 request_rng;  // separate, so that the requests don't depend on the replies
  std::vector<std::vector<WeightedWorker>> picks;  // by operation
  // Forwarders only:
  forwarders::ActualTable held;
  std::uint64_t highest_term = 0;
  std::vector<Instant> ejected_until;
  std::vector<std::uint8_t> consecutive_failures;
  std::vector<std::uint16_t> outstanding;
  std::vector<double> admission_level, rate_limit;  // by operation
  // By operation. 0: no retry; 1: one, if the worker refused; 2: also one of an idempotent operation; 3: up
  // to two.
  std::vector<int> retry_mode;
  std::vector<std::pair<double, Instant>> token_buckets;
  struct TryCounts {
    int tries = 0, errored = 0;
    double latency_sum = 0;
  };
  std::vector<TryCounts> try_counts;  // by worker and operation, since the last report
  std::vector<std::uint32_t> changed_counts;
  std::vector<int> arrived;
  int retries_since_report = 0;
  int retry_budget = -1;  // thousandths of first tries; negative: unlimited
  limits::RetryLimiter retry_limiter;
  std::optional<InjectedFaultKind> fault;
  std::optional<Instant> leaderless_since;
  bool had_leader = false;
  std::vector<std::optional<Instant>> unserved_since;
  // DNS clients only:
  std::vector<Instant> answer_expires;
  std::vector<std::vector<std::uint32_t>> waiting_lookups;
  std::vector<coordinator::LowDiscrepancySequence> sampling_phases;
};

// A coordinator's connection to one forwarder.
struct Stream {
  bool up = false, batch_in_flight = false, taken_over = false;
  std::uint32_t incarnation = 0;
  std::optional<std::uint64_t> term;
  std::shared_ptr<const coordinator::DesiredTable> desired_table;
  std::uint64_t applied_version = 0;
};

// Table changes on their way to a forwarder.
struct Batch {
  std::uint32_t proxy = 0, process = 0, incarnation = 0;
  std::optional<std::uint64_t> term;
  std::vector<forwarders::Change> changes;
  bool truncated = false;  // its sender stopped while sending it
};

// A simulated coordinator process.
struct Process {
  std::size_t number = 1, zone = 0;
  std::unique_ptr<Coordinator> core;
  std::unique_ptr<cluster::Cluster> cluster;
  std::unique_ptr<shared_fleet::ClusterAdapter> cluster_adapter;
  bool up = false, paused = false, step_scheduled = false;
  double clock_rate = 1, clock_offset = 0;
  std::vector<Input> inputs;
  std::vector<Event> deferred_events;  // those due while it was paused
  std::uint32_t wakeup_id = 0, cluster_wakeup_id = 0, incarnation = 0;
  std::shared_ptr<const coordinator::PublishedState> published;
  std::vector<Stream> streams;  // by forwarder
  std::vector<recovery::Entry> stored_facts;
  std::optional<Instant> stored_at;                   // in true time
  std::vector<std::optional<BackendId>> backend_ids;  // by worker
  std::vector<bool> health_pending;                   // by worker: a health check is unanswered
  std::vector<std::uint16_t> forwarder_ids;
  std::vector<std::size_t> forwarder_indexes;  // by position in its settings
};

}  // namespace

void Tally::add(const Tally& other) {
  offered_value += other.offered_value, value_in_time += other.value_in_time,
      invocations += other.invocations, succeeded += other.succeeded, late += other.late;
  errored += other.errored, rate_limited += other.rate_limited, no_line += other.no_line;
}

double Outcome::worst_ten_seconds() const {
  double worst = 1;
  for (const auto& tally : by_ten_seconds)
    if (tally.offered_value > 0) worst = std::min(worst, tally.service());
  return worst;
}

std::vector<std::string> Outcome::broken_rules(const Day& day) const {
  std::vector<std::string> rules;
  if (longest_unserved > day.unserved.seconds()) rules.emplace_back("1 nobody left without a worker");
  if (duplicate_effects > 0) rules.emplace_back("2 no effect twice");
  if (longest_send_after_drain > day.drain_grace.seconds() + 0.05) rules.emplace_back("3 drains kept");
  if (collapses > 0 || worst_cold_overload > day.tip_multiple)
    rules.emplace_back("4 no cold worker pushed over");
  if (most_waiting_lines > day.backlog) rules.emplace_back("5 lines waiting in a channel");
  if (stale_terms_accepted > 0) rules.emplace_back("no order of a lower term");
  if (double_leaders > 0) rules.emplace_back("never two leaders");
  return rules;
}

coordinator::Settings settings_for_coordinator(const Day& day, std::size_t number) {
  config::Findings findings;
  const auto read =
      config::read_settings(script::coordinator_settings(day, {}, number, "."), "day", findings);
  return read.core;
}

struct Simulation::State {
  State(const Day& given, SimulationSettings settings)
      : day{given}, options{std::move(settings)}, rng{static_cast<std::uint32_t>(options.seed)} {
    options.keep_store = options.keep_store || day.keeps;
  }

  // ---- Time ----------------------------------------------------------------------------------------------

  void schedule_at(Instant when, EventType type, std::uint32_t target = 0, std::uint32_t detail = 0,
                   std::uint32_t guard = 0) {
    events.push({std::max((when - Instant{}).micros(), (now - Instant{}).micros()), ++sequence, type, target,
                 detail, guard});
  }
  void schedule_after(Span span, EventType type, std::uint32_t target = 0, std::uint32_t detail = 0,
                      std::uint32_t guard = 0) {
    schedule_at(now + span, type, target, detail, guard);
  }
  [[nodiscard]] Instant local_time(const Process& process) const {
    return day_start + Span::seconds(process.clock_offset) + (now - day_start) * process.clock_rate;
  }
  [[nodiscard]] Instant true_time(const Process& process, Instant local) const {
    // Rounded up slightly, so that a timer that is due has also expired on the process's own clock.
    return day_start +
           Span::seconds(((local - day_start).seconds() - process.clock_offset) / process.clock_rate) +
           Span::micros(2);
  }
  double uniform() { return std::uniform_real_distribution<>{}(rng); }
  [[nodiscard]] Span zone_latency(std::size_t from, std::size_t to) const {
    return from == to ? options.latency : options.cross_zone_latency;
  }

  // ---- Setup ---------------------------------------------------------------------------------------------

  void build() {
    now = day_start - kStartupTime;
    const std::size_t zones = day.zones.size(), operation_count = day.operations.size();
    const script::AddressPlan places;
    for (std::size_t z = 0; z < zones; ++z) sources.push_back({masked(places.clients_of(z).address, 16), 16});
    forwarder_places = script::forwarders_of(day, places);
    // Workers count all forwarders as one source: forwarders report their own counts, so only the sum
    // matters.
    if (!forwarder_places.empty()) sources.push_back({masked(forwarder_places[0].at, 24), 24});
    roster = script::roster_of(day, places);
    configured_roster = roster;
    std::map<std::string, std::size_t> numbers;
    for (const auto& worker : day.workers) {
      WorkerSpec spec;
      spec.zone = zone_index(worker.zone), spec.cores = worker.cores, spec.speed = worker.speed,
      spec.queue_most = worker.queue_most;
      spec.slots = worker.slots > 0 ? worker.slots : static_cast<int>(worker.cores);
      spec.connect_cost = worker.connect_cost.seconds(), spec.loss = worker.loss,
      spec.cancels = worker.cancels;
      spec.cold_for = day.cold_for, spec.tip_after = day.tip_after, spec.drain_grace = day.drain_grace;
      spec.cold_from = day.cold_from, spec.tip_multiple = day.tip_multiple;
      for (int n = 0; n < worker.count; ++n) {
        workers.emplace_back(script::worker_name(day, spec.zone, ++numbers[worker.zone]), spec, sources,
                             operation_count);
        workers.back().start(now, false);
      }
    }
    finish_generation.assign(workers.size(), 0), draining_since.assign(workers.size(), std::nullopt),
        load_report_delay.assign(workers.size(), Span{});
    for (std::size_t worker = 0; worker < workers.size(); ++worker)
      worker_by_name[workers[worker].name()] = static_cast<std::uint32_t>(worker);
    for (const auto& operation : day.operations) shares.push_back(operation.share);
    draw_operation = std::discrete_distribution<int>{shares.begin(), shares.end()};
    for (std::size_t forwarder = 0; forwarder < forwarder_places.size(); ++forwarder) {
      Proxy proxy;
      proxy.forwarder = true, proxy.zone = zone_index(forwarder_places[forwarder].zone),
      proxy.led_by = forwarder_places[forwarder].led_by,
      proxy.two_choice = forwarder_places[forwarder].kind.two_choice;
      proxy.rate = forwarder_places[forwarder].kind.rate * forwarder_places[forwarder].kind.clients /
                   forwarder_places[forwarder].kind.count;
      proxy.ejected_until.resize(workers.size()), proxy.consecutive_failures.resize(workers.size()),
          proxy.outstanding.resize(workers.size());
      proxy.try_counts.resize(workers.size() * operation_count), proxy.arrived.assign(operation_count, 0),
          proxy.token_buckets.resize(operation_count), proxy.unserved_since.resize(operation_count);
      proxies.push_back(std::move(proxy));
      load_initial_table(proxies.back());
    }
    std::map<std::string, std::size_t> clients;
    for (const auto& group : day.clients)
      for (int n = 0; n < group.count; ++n) {
        Proxy proxy;
        proxy.zone = zone_index(group.zone), proxy.rate = group.rate,
        proxy.by_address = n < group.by_address * group.count, proxy.honors_lifetime = n >= group.disobedient;
        proxy.first_dns_server = ++clients[group.zone] % day.coordinators.size();
        proxy.answer_expires.resize(operation_count), proxy.waiting_lookups.resize(operation_count),
            proxy.sampling_phases.resize(operation_count), proxy.picks.resize(operation_count);
        for (auto& phase : proxy.sampling_phases)
          for (std::uint64_t k = rng() % 64; k > 0; --k) static_cast<void>(phase.next());
        proxies.push_back(std::move(proxy));
      }
    for (std::size_t proxy = 0; proxy < proxies.size(); ++proxy) {
      std::seed_seq seed{static_cast<std::uint32_t>(options.seed), static_cast<std::uint32_t>(proxy)};
      proxies[proxy].request_rng.seed(seed);
    }
    last_connection_use.assign(proxies.size() * workers.size(), Instant{});
    group_unserved_since.resize(zones * operation_count);
    outcome.by_operation.resize(operation_count), outcome.by_zone.resize(zones),
        outcome.arrivals_by_worker.resize(workers.size());
    for (std::size_t n = 1; n <= day.coordinators.size(); ++n) {
      Process& process = processes.emplace_back();
      process.number = n, process.zone = zone_index(day.coordinators[n - 1]);
      process.clock_rate = 1 + options.clock_drift * (uniform() - 0.5),
      process.clock_offset = options.clock_drift > 0 ? 1000 * uniform() : 0;
      start(process);
    }
    for (std::size_t proxy = 0; proxy < proxies.size(); ++proxy)
      schedule_request(static_cast<std::uint32_t>(proxy));
    for (std::size_t k = 0; k < day.troubles.size(); ++k)
      schedule_at(day_start + day.troubles[k].at, EventType::fault_start, static_cast<std::uint32_t>(k));
    for (std::size_t k = 0; k < day.kills.size(); ++k)
      schedule_at(day_start + day.kills[k].at, EventType::process_stop, static_cast<std::uint32_t>(k));
    for (std::size_t k = 0; k < day.phases.size(); ++k)
      schedule_at(day_start + day.phases[k].at, EventType::phase_start, static_cast<std::uint32_t>(k));
    for (std::size_t k = 0; k < day.operator_commands.size(); ++k)
      schedule_at(day_start + day.operator_commands[k].at, EventType::operator_command,
                  static_cast<std::uint32_t>(k));
    schedule_after(Span::seconds(1), EventType::second_tick);
    schedule_after(Span::seconds(0.1), EventType::rule_check);
    if (day.churn > Span{}) schedule_after(day.churn, EventType::weight_churn);
    for (int k = 0; k < options.random_faults; ++k)
      schedule_at(day_start + Span::seconds(3 + (day.length.seconds() - 9) * uniform()),
                  EventType::random_fault);
  }
  [[nodiscard]] std::size_t zone_index(const std::string& name) const {
    return static_cast<std::size_t>(std::find(day.zones.begin(), day.zones.end(), name) - day.zones.begin());
  }

  // The forwarder's static configuration: up to four workers of its zone.
  void load_initial_table(Proxy& proxy) {
    proxy.held = {}, proxy.highest_term = 0;
    std::size_t n = 0;
    for (const auto& line : configured_roster)
      if (zone_index(line.zone) == proxy.zone && n++ < 4)
        for (const auto& operation : day.operations)
          proxy.held.lines[{operation.name, line.name}] = {line.at, 100, forwarders::ServerState::ready};
    apply_table(proxy);
  }
  void apply_table(Proxy& proxy) {
    const std::size_t operation_count = day.operations.size();
    proxy.picks.assign(operation_count, {}), proxy.admission_level.assign(operation_count, 1),
        proxy.rate_limit.assign(operation_count, -1), proxy.retry_mode.assign(operation_count, 1);
    for (std::size_t k = 0; k < operation_count; ++k) {
      const std::string& operation = day.operations[k].name;
      double cumulative_weight = 0;
      for (auto it = proxy.held.lines.lower_bound({operation, ""});
           it != proxy.held.lines.end() && it->first.first == operation; ++it)
        if (it->second.effective_weight() > 0)
          if (const auto worker = worker_by_name.find(it->first.second); worker != worker_by_name.end())
            proxy.picks[k].push_back({worker->second, cumulative_weight += it->second.effective_weight()});
      const auto value = [&](const char* prefix, int otherwise) {
        const auto it = proxy.held.variables.find(prefix + operation);
        return it == proxy.held.variables.end() ? otherwise : it->second;
      };
      proxy.admission_level[k] = value("level_", 1000) / 1000.0, proxy.retry_mode[k] = value("tries_", 1);
      const int rate_limit = value("rate_", -1);
      const auto retries = proxy.held.variables.find("retries");
      proxy.retry_budget = retries == proxy.held.variables.end() ? -1 : retries->second;
      proxy.rate_limit[k] = rate_limit < 0 || rate_limit >= 1'000'000'000 ? -1 : rate_limit / 10.0;
    }
  }

  [[nodiscard]] coordinator::DecisionMaker make_decision_maker(const coordinator::Settings& settings) const {
    if (options.decision_maker == DecisionMakerKind::fixed_weights) return coordinator::fixed_weights();
    return options.decision_maker == DecisionMakerKind::zone_local
               ? coordinator::zone_local()
               : coordinator::policy_decision_maker(settings);
  }

  // ---- Coordinators --------------------------------------------------------------------------------------

  void start(Process& process) {
    process.up = true, process.paused = false, process.step_scheduled = false, ++process.incarnation;
    process.inputs.clear(), process.deferred_events.clear();
    process.published.reset(), process.backend_ids.assign(workers.size(), std::nullopt),
        process.health_pending.assign(workers.size(), false);
    process.streams.assign(forwarder_places.size(), {});
    auto settings =
        options.settings ? options.settings(process.number) : settings_for_coordinator(day, process.number);
    if (options.decision_maker != DecisionMakerKind::policy)
      settings.spill = false;  // the reference decision makers run without spillover
    process.core = std::make_unique<Coordinator>(settings, make_decision_maker(settings));
    process.forwarder_ids.assign(forwarder_places.size(), 0), process.forwarder_indexes.clear();
    for (std::size_t k = 0; k < settings.forwarders.size(); ++k)
      for (std::size_t forwarder = 0; forwarder < forwarder_places.size(); ++forwarder)
        if (forwarder_places[forwarder].name == settings.forwarders[k].name)
          process.forwarder_ids[forwarder] = static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k),
          process.forwarder_indexes.push_back(forwarder);
    if (day.shared) {
      cluster::ClusterSettings cluster_settings;
      cluster_settings.self = cluster::MemberId{static_cast<std::uint16_t>(process.number - 1)};
      for (std::size_t k = 0; k < day.coordinators.size(); ++k)
        cluster_settings.members.push_back(cluster::MemberId{static_cast<std::uint16_t>(k)});
      cluster_settings.shards = std::max<std::size_t>(6, forwarder_places.size() / 12);
      cluster_settings.term_floor = {static_cast<std::uint64_t>(1000 + (now - day_start).micros() / 1000)};
      cluster_settings.lease.duration = day.lease,
      cluster_settings.lease.max_clock_drift = std::max(0.01, options.clock_drift);
      cluster_settings.lease.renew_before = day.lease * 0.67,
      cluster_settings.lease.retry_interval = day.lease * 0.1;
      cluster_settings.seed = options.seed * 31 + process.number;
      process.cluster = std::make_unique<cluster::Cluster>(cluster_settings, local_time(process));
      process.cluster_adapter = std::make_unique<shared_fleet::ClusterAdapter>(*process.cluster);
      schedule_after(Span{}, EventType::cluster_tick, index(process), ++process.cluster_wakeup_id);
      schedule_after(Span::seconds(0.25 * uniform()), EventType::fact_exchange, index(process),
                     process.incarnation);
    }
    if (options.keep_store && process.stored_at) {
      auto entries = process.stored_facts;
      const Instant confirmed = local_time(process) - (now - *process.stored_at) * process.clock_rate;
      // The store's age is converted to the new process's clock.
      add_input(process,
                coordinator::FactsReceived{
                    recovery::select_trusted(entries, confirmed, local_time(process)).applicable, true});
    }
    add_roster(process);
    for (std::size_t k = 0; k < kPollBuckets; ++k)
      schedule_after(load_interval(process) * (static_cast<double>(k) / kPollBuckets), EventType::load_poll,
                     index(process), static_cast<std::uint32_t>(k), process.incarnation);
    schedule_after(settings.report_every, EventType::report_due, index(process), process.incarnation);
    if (options.keep_store)
      schedule_after(options.store_interval, EventType::store_write, index(process), process.incarnation);
    if (!day.shared)
      for (std::size_t forwarder = 0; forwarder < forwarder_places.size(); ++forwarder)
        if (forwarder_places[forwarder].led_by == process.number)
          open_stream(process, forwarder, std::nullopt, false);
  }
  [[nodiscard]] std::uint32_t index(const Process& process) const {
    return static_cast<std::uint32_t>(process.number - 1);
  }
  [[nodiscard]] Span load_interval(const Process& process) const {
    return options.load_interval > Span{} ? options.load_interval : process.core->settings().report_every;
  }

  void stop(Process& process) {
    process.up = false, process.paused = false, ++process.incarnation;
    for (std::size_t forwarder = 0; forwarder < process.streams.size(); ++forwarder)
      if (process.streams[forwarder].up) clear_unserved(forwarder);
    process.core.reset(), process.cluster_adapter.reset(), process.cluster.reset();
    // Batches in flight are cut off at an arbitrary change.
    for (auto& [id, batch] : batches)
      if (batch.process == index(process)) batch.truncated = true;
  }

  void clear_unserved(std::size_t forwarder) {
    for (auto& unserved_since : proxies[forwarder].unserved_since) unserved_since.reset();
  }

  void add_input(Process& process, Input input) {
    process.inputs.push_back(std::move(input));
    if (process.step_scheduled || !process.up) return;
    process.step_scheduled = true;
    schedule_after(options.input_window, EventType::core_step, index(process), process.incarnation);
  }

  void add_roster(Process& process) {
    std::vector<coordinator::RosterEntry> entries;
    for (const auto& line : roster) {
      coordinator::RosterEntry entry;
      entry.name = line.name, entry.zone = ZoneId{static_cast<std::uint16_t>(zone_index(line.zone))},
      entry.at = line.at, entry.weight = line.weight;
      entry.availability = line.draining ? Availability::draining : Availability::ready;
      entries.push_back(std::move(entry));
    }
    add_input(process, coordinator::RosterUpdate{std::move(entries)});
  }

  void step(Process& process) {
    process.step_scheduled = false;
    const Instant local_now = local_time(process);
    const auto inputs = std::exchange(process.inputs, {});
    const auto effects = process.core->step(local_now, inputs);
    if (options.on_step) options.on_step(process.number, local_now, inputs, effects);
    if (effects.published) process.published = effects.published;
    for (const auto& message : effects.messages)
      outcome.most_waiting_lines = std::max(outcome.most_waiting_lines, message.waiting);
    for (const auto& delivery : effects.deliveries) {
      const std::size_t forwarder = forwarder_index(process, delivery.forwarder);
      process.streams[forwarder].desired_table = delivery.table;
      send_next_batch(process, forwarder);
    }
    for (const auto& log_event : effects.log_events)
      if (!outcome.samples.empty() && outcome.samples.back().warnings.size() < 20 &&
          log_event.severity == coordinator::LogEvent::Severity::warning)
        outcome.samples.back().warnings.push_back(log_event.event);
    schedule_at(true_time(process, effects.next_wakeup), EventType::core_wakeup, index(process),
                ++process.wakeup_id);
  }

  void poll_load(Process& process, std::uint32_t bucket) {
    for (std::size_t worker = bucket; worker < workers.size(); worker += kPollBuckets) {
      if (!process.backend_ids[worker])
        process.backend_ids[worker] = process.core->backend_id(workers[worker].name());
      if (!process.backend_ids[worker]) continue;
      const Span network_latency = zone_latency(process.zone, workers[worker].spec().zone);
      const bool link_cut = is_link_cut(process.zone, workers[worker].spec().zone);
      if (!workers[worker].up()) {
        add_input(process, coordinator::LoadPollFailed{*process.backend_ids[worker],
                                                       link_cut ? "timeout" : "refused"});
      } else if (link_cut || workers[worker].fault() == InjectedFaultKind::silent) {
        add_input(process, coordinator::LoadPollFailed{*process.backend_ids[worker], "timeout"});
      } else {
        // A delayed reply belongs to a request that was sent that much earlier.
        const Span delay = load_report_delay[worker];
        add_input(process, coordinator::LoadReport{*process.backend_ids[worker],
                                                   local_time(process) - network_latency * 2 - delay,
                                                   workers[worker].load_sample(now)});
      }
    }
    check_health(process, bucket);
  }
  void check_health(Process& process, std::uint32_t bucket) {
    // Twice per load interval, as in service.
    for (std::size_t worker = bucket % (kPollBuckets / 2); worker < workers.size();
         worker += kPollBuckets / 2)
      if (process.backend_ids[worker] && !process.health_pending[worker] &&
          !check_health_once(process, worker))
        schedule_after(kHealthRetryDelay, EventType::health_retry, index(process),
                       static_cast<std::uint32_t>(worker), process.incarnation);
  }
  bool check_health_once(Process& process, std::size_t worker) {
    const bool link_cut = is_link_cut(process.zone, workers[worker].spec().zone);
    const Span round_trip = zone_latency(process.zone, workers[worker].spec().zone) * 2;
    const auto latency = link_cut ? std::nullopt : workers[worker].health_latency(now);
    const bool refused = !link_cut && !workers[worker].up();
    const bool succeeded = latency && *latency < kHealthTimeout.seconds();
    if (!succeeded && !refused) {
      // No reply will come, and the next check waits for this one to time out.
      process.health_pending[worker] = true;
      schedule_after(kHealthTimeout, EventType::health_timeout, index(process),
                     static_cast<std::uint32_t>(worker), process.incarnation);
      return true;
    }
    add_input(process, coordinator::HealthCheckResult{
                           *process.backend_ids[worker],
                           succeeded ? coordinator::Health::passed
                           : refused ? coordinator::Health::refused
                                     : coordinator::Health::failed,
                           succeeded ? Span::seconds(*latency) + round_trip : kHealthTimeout});
    return succeeded;
  }
  [[nodiscard]] bool is_link_cut(std::size_t from, std::size_t to) const {
    return cut_zone_links.contains({from, to});
  }

  // ---- Forwarder streams ---------------------------------------------------------------------------------

  void open_stream(Process& process, std::size_t forwarder, std::optional<std::uint64_t> term,
                   bool taken_over) {
    Stream& stream = process.streams[forwarder];
    stream = {false, false, taken_over, stream.incarnation + 1, term, {}, 0};
    schedule_after(zone_latency(process.zone, proxies[forwarder].zone) * 4, EventType::stream_open,
                   index(process), static_cast<std::uint32_t>(forwarder), stream.incarnation);
  }
  void close_stream(Process& process, std::size_t forwarder) {
    Stream& stream = process.streams[forwarder];
    if (stream.up) {
      add_input(process, coordinator::ForwarderLeft{proxy_id(process, forwarder)});
      clear_unserved(forwarder);
    }
    stream = {false, false, false, stream.incarnation + 1, std::nullopt, {}, 0};
  }
  // Ids follow the order in a coordinator's settings, which list only its own forwarders when none are
  // shared.
  [[nodiscard]] ProxyId proxy_id(const Process& process, std::size_t forwarder) const {
    return ProxyId{process.forwarder_ids[forwarder]};
  }

  static std::size_t forwarder_index(const Process& process, ProxyId id) {
    return process.forwarder_indexes.at(id.value - coordinator::kFirstForwarderId);
  }

  void stream_opened(Process& process, std::size_t forwarder) {
    Stream& stream = process.streams[forwarder];
    Proxy& proxy = proxies[forwarder];
    stream.up = true;
    if (process.cluster && proxy.highest_term > 0)
      process.cluster->observe_term(
          local_time(process),
          process.cluster_adapter->shard_of(proxy_id(process, forwarder), process.core->settings()),
          {proxy.highest_term});
    if (stream.term && options.fencing) proxy.highest_term = std::max(proxy.highest_term, *stream.term);
    outcome.takeovers += stream.taken_over ? 1 : 0;
    std::map<std::string, double> weights;
    for (const auto& [key, line] : proxy.held.lines)
      if (line.effective_weight() > 0)
        weights[key.second] = std::max(weights[key.second], static_cast<double>(line.effective_weight()));
    add_input(process, coordinator::ForwarderJoined{proxy_id(process, forwarder), stream.taken_over,
                                                    std::move(weights)});
  }

  void send_next_batch(Process& process, std::size_t forwarder) {
    Stream& stream = process.streams[forwarder];
    if (!stream.up || !stream.desired_table || stream.batch_in_flight) return;
    if (process.cluster &&
        !process.cluster->held_term(
            process.cluster_adapter->shard_of(proxy_id(process, forwarder), process.core->settings()),
            local_time(process)))
      return;
    // What the forwarder holds is known from its replies. The plan is reused for other forwarders that hold
    // the same lines and are to get the same table.
    if (!(planned_table == stream.desired_table && planned_from == proxies[forwarder].held))
      planned_table = stream.desired_table, planned_from = proxies[forwarder].held,
      planned_changes = forwarders::plan(proxies[forwarder].held, *stream.desired_table, true);
    if (planned_changes.empty()) {
      if (stream.applied_version != stream.desired_table->version) {
        stream.applied_version = stream.desired_table->version;
        add_input(process,
                  coordinator::ForwarderAppliedTable{proxy_id(process, forwarder), stream.applied_version});
      }
      return;
    }
    stream.batch_in_flight = true;
    const std::uint32_t batch_id = ++last_batch_id;
    const Span apply_time = kLineApplyTime * static_cast<double>(planned_changes.size()) +
                            zone_latency(process.zone, proxies[forwarder].zone);
    batches[batch_id] = {static_cast<std::uint32_t>(forwarder),
                         index(process),
                         stream.incarnation,
                         stream.term,
                         planned_changes,
                         false};
    schedule_after(apply_time, EventType::batch_arrives, batch_id);
    // A scheduled random fault hits the process in the middle of sending.
    if (const auto armed = armed_processes.extract(index(process)); !armed.empty())
      schedule_after(apply_time * uniform(), EventType::process_fault, index(process),
                     armed.mapped() ? 1 : 0);
  }

  void apply_batch(std::uint32_t batch_id) {
    const auto node = batches.extract(batch_id);
    if (node.empty()) return;
    const Batch& batch = node.mapped();
    Proxy& proxy = proxies[batch.proxy];
    if (proxy.fault == InjectedFaultKind::forwarder_refuse) return;
    if (batch.term) {
      if (*batch.term < proxy.highest_term && options.fencing) {
        ++outcome.stale_terms_rejected;
        return;
      }
      if (*batch.term < highest_applied_term[batch.proxy]) ++outcome.stale_terms_accepted;
      highest_applied_term[batch.proxy] = std::max(highest_applied_term[batch.proxy], *batch.term);
      proxy.highest_term = std::max(proxy.highest_term, *batch.term);
    }
    std::size_t change_count = batch.changes.size();
    if (batch.truncated) change_count = rng() % (batch.changes.size() + 1), ++outcome.partial_batches;
    for (std::size_t k = 0; k < change_count; ++k) forwarders::apply(proxy.held, batch.changes[k]);
    apply_table(proxy);
    if (!batch.truncated)
      schedule_after(zone_latency(processes[batch.process].zone, proxy.zone), EventType::batch_acknowledged,
                     batch.process, batch.proxy, batch.incarnation);
  }

  void send_report(Process& process) {
    const std::size_t operation_count = day.operations.size();
    for (std::size_t forwarder = 0; forwarder < forwarder_places.size(); ++forwarder) {
      if (!process.streams[forwarder].up) continue;
      Proxy& proxy = proxies[forwarder];
      coordinator::ForwarderReport forwarder_report{
          proxy_id(process, forwarder), {}, {}, std::exchange(proxy.retries_since_report, 0)};
      for (const auto key : proxy.changed_counts) {
        auto& counts = proxy.try_counts[key];
        const auto id = process.backend_ids[key / operation_count];
        if (id && counts.tries > 0)
          forwarder_report.rows.push_back(
              {*id, OperationId{static_cast<std::uint8_t>(key % operation_count)}, counts.tries,
               counts.errored,
               Span::seconds(counts.tries > counts.errored
                                 ? counts.latency_sum / (counts.tries - counts.errored)
                                 : 0)});
        counts = {};
      }
      proxy.changed_counts.clear();
      for (std::size_t k = 0; k < operation_count; ++k)
        forwarder_report.arrived.emplace_back(OperationId{static_cast<std::uint8_t>(k)},
                                              std::exchange(proxy.arrived[k], 0));
      add_input(process, std::move(forwarder_report));
    }
  }

  // ---- Between coordinators ------------------------------------------------------------------------------

  void tick_cluster(Process& process) {
    for (auto& message : process.cluster->tick(local_time(process))) {
      const std::size_t recipient = message.to.value;
      outcome.cluster_bytes += 80 + 11 * message.updates.size() +
                               (std::holds_alternative<cluster::ReplicationBatch>(message.body)
                                    ? std::get<cluster::ReplicationBatch>(message.body).facts.size()
                                    : 0);
      if (cut_process_links.contains({index(process), recipient}) ||
          (message_loss > 0 && uniform() < message_loss))
        continue;
      const std::uint32_t message_id = ++last_message_id;
      messages[message_id] = std::move(message);
      const double delay =
          0.0005 + 0.002 * uniform() + (slow_process_links.contains({index(process), recipient}) ? 0.2 : 0);
      schedule_after(Span::seconds(delay), EventType::message_arrives, static_cast<std::uint32_t>(recipient),
                     message_id);
    }
    apply_cluster_update(
        process, process.cluster_adapter->poll_leadership(local_time(process), process.core->settings()));
    const Instant wake = true_time(process, process.cluster->wake_at());
    schedule_at(std::max(now + Span::seconds(0.005), std::min(wake, now + Span::seconds(0.05))),
                EventType::cluster_tick, index(process), ++process.cluster_wakeup_id);
  }
  void apply_cluster_update(Process& process, shared_fleet::ClusterUpdate update) {
    for (auto& input : update.inputs) add_input(process, std::move(input));
    for (const auto& lead : update.lead_changes) {
      const std::size_t forwarder = forwarder_index(process, lead.forwarder);
      if (process.streams[forwarder].up || lead.before) close_stream(process, forwarder);
      if (lead.now) open_stream(process, forwarder, lead.now->value, true);
    }
  }

  void inject_random_fault() {
    const std::size_t process_index = rng() % processes.size(), peer = rng() % processes.size();
    const auto isolate = [&](bool both) {
      for (std::size_t other = 0; other < processes.size(); ++other) {
        cut_process_links.insert({process_index, other});
        if (both) cut_process_links.insert({other, process_index});
      }
    };
    switch (rng() % 9) {
      case 0:
        armed_processes[process_index] = false;
        break;
      case 1:
      case 2:
        for (auto& other : processes)
          if (!other.up) start(other);
        break;
      case 3:
        armed_processes[process_index] = true;
        break;
      case 4:
        for (auto& other : processes) resume(other);
        break;
      case 5:
        isolate(rng() % 2 == 0);
        break;
      case 6:
        cut_process_links.clear(), slow_process_links.clear(), message_loss = 0;
        break;
      case 7:
        message_loss = 0.3 * uniform();
        break;
      default:
        slow_process_links.insert({process_index, peer});
        break;
    }
  }
  void clear_random_faults() {
    armed_processes.clear(), cut_process_links.clear(), slow_process_links.clear(), message_loss = 0;
    for (auto& process : processes) {
      resume(process);
      if (!process.up) start(process);
    }
  }
  void pause(Process& process) {
    if (!process.up || process.paused) return;
    process.paused = true;
    // Data already in its kernel's send buffers may arrive at any later time.
    for (auto& [id, batch] : batches)
      if (batch.process == index(process) && rng() % 5 != 0) delayed_batches.push_back(id);
    for (const auto id : delayed_batches) withheld_batches.insert(id);
  }
  void resume(Process& process) {
    if (!process.paused) return;
    process.paused = false;
    for (const auto batch_id : std::exchange(delayed_batches, {})) {
      withheld_batches.erase(batch_id);
      schedule_after(Span::seconds(0.001), EventType::batch_arrives, batch_id);
    }
    for (const auto& event : std::exchange(process.deferred_events, {}))
      schedule_at(now, event.type, event.target, event.detail, event.guard);
  }

  // ---- Invocations ---------------------------------------------------------------------------------------

  // Weights all workers by their present capacity, without those that drain.
  void update_oracle() {
    oracle_picks.clear();
    double cumulative_weight = 0;
    for (std::uint32_t worker = 0; worker < workers.size(); ++worker)
      if (const double capacity = draining_since[worker] ? 0 : workers[worker].capacity(now); capacity > 0)
        oracle_picks.push_back({worker, cumulative_weight += capacity});
  }

  void schedule_request(std::uint32_t proxy_index) {
    const double rate = proxies[proxy_index].rate * rate_factor;
    if (rate <= 0) return;
    schedule_after(Span::seconds(std::exponential_distribution<>{rate}(proxies[proxy_index].request_rng)),
                   EventType::request_due, proxy_index, rate_generation);
  }

  void start_invocation(std::uint32_t proxy_index) {
    std::uint32_t id = 0;
    if (free_ids.empty()) {
      id = static_cast<std::uint32_t>(invocations.size());
      invocations.emplace_back();
    } else {
      id = free_ids.back();
      free_ids.pop_back();
    }
    Invocation& invocation = invocations[id];
    const auto generation = invocation.generation + 1, caller_generation = invocation.caller_generation + 1;
    invocation = {};
    invocation.open = true, invocation.generation = generation,
    invocation.caller_generation = caller_generation, invocation.proxy = proxy_index,
    invocation.started_at = now;
    invocation.operation = static_cast<std::uint8_t>(draw_operation(proxies[proxy_index].request_rng));
    invocation.work =
        static_cast<float>(0.6 + 0.8 * std::uniform_real_distribution<>{}(proxies[proxy_index].request_rng));
    const double value = day.operations[invocation.operation].billed_value;
    for (Tally* tally : tallies(invocation)) tally->offered_value += value, ++tally->invocations;
    second_totals(invocation).first += value;
    if (options.decision_maker == DecisionMakerKind::oracle) update_oracle();
    start_caller_try(id);
  }
  [[nodiscard]] std::array<Tally*, 4> tallies(const Invocation& invocation) {
    if (invocation.started_at < day_start + options.warm_up)
      return {&uncounted, &uncounted, &uncounted, &uncounted};
    const auto ten_seconds = static_cast<std::size_t>((invocation.started_at - day_start).seconds() / 10);
    if (outcome.by_ten_seconds.size() <= ten_seconds) outcome.by_ten_seconds.resize(ten_seconds + 1);
    return {&outcome.whole, &outcome.by_operation[invocation.operation],
            &outcome.by_zone[proxies[invocation.proxy].zone], &outcome.by_ten_seconds[ten_seconds]};
  }

  std::pair<double, double>& second_totals(const Invocation& invocation) {
    const auto second = static_cast<std::size_t>((invocation.started_at - day_start).seconds());
    if (outcome.by_second.size() <= second) outcome.by_second.resize(second + 1);
    return outcome.by_second[second];
  }

  enum class Result { succeeded, late, errored, rate_limited, no_line };
  void finish_invocation(std::uint32_t id, Result result) {
    Invocation& invocation = invocations[id];
    if (!invocation.open) return;
    const double value = day.operations[invocation.operation].billed_value;
    for (Tally* tally : tallies(invocation)) {
      if (result == Result::succeeded) tally->value_in_time += value, ++tally->succeeded;
      tally->late += result == Result::late, tally->errored += result == Result::errored,
          tally->rate_limited += result == Result::rate_limited, tally->no_line += result == Result::no_line;
    }
    if (result == Result::succeeded) second_totals(invocation).second += value;
    if (options.list_completions)
      outcome.completions.push_back(
          {(invocation.started_at - day_start).seconds(), (now - invocation.started_at).seconds(),
           invocation.operation, static_cast<std::uint8_t>(result),
           std::max(invocation.worker_tries, invocation.caller_tries),
           static_cast<std::uint16_t>(invocation.proxy),
           invocation.tried_count > 0 ? static_cast<std::uint16_t>(invocation.worker)
                                      : std::uint16_t{65535}});
    invocation.open = false, ++invocation.generation, ++invocation.caller_generation;
    free_ids.push_back(id);
  }

  // Called for each of the caller's own tries.
  void start_caller_try(std::uint32_t id) {
    Invocation& invocation = invocations[id];
    Proxy& proxy = proxies[invocation.proxy];
    const auto& operation = day.operations[invocation.operation];
    if (!proxy.forwarder) return send_direct(id);
    ++invocation.caller_tries, ++invocation.caller_generation,
        invocation.worker_tries = 0, invocation.tried_count = 0, invocation.forwarded_at = now;
    ++proxy.arrived[invocation.operation];
    const Span remaining = operation.integration_timeout - (now - invocation.started_at);
    schedule_at(now + std::max(Span::seconds(0.001),
                               std::min(remaining, operation.integration_timeout * kClientTryTimeoutShare)),
                EventType::caller_timeout, id, invocation.caller_generation);
    if (!admit(proxy, invocation.operation)) return finish_invocation(id, Result::rate_limited);
    proxy.retry_limiter.record_first_try(now);
    forward_try(id);
  }
  bool admit(Proxy& proxy, std::size_t operation) {
    if (proxy.admission_level[operation] < 1 && uniform() >= proxy.admission_level[operation]) return false;
    if (proxy.rate_limit[operation] < 0) return true;
    auto& [tokens_left, since] = proxy.token_buckets[operation];
    tokens_left = std::min(
        std::max(1.0, proxy.rate_limit[operation] / 2),
        tokens_left + proxy.rate_limit[operation] * (since == Instant{} ? 1.0 : (now - since).seconds()));
    since = now;
    if (tokens_left < 1) return false;
    tokens_left -= 1;
    return true;
  }
  std::optional<std::uint32_t> pick_worker(const Proxy& proxy, const Invocation& invocation) {
    const auto& picks = options.decision_maker == DecisionMakerKind::oracle
                            ? oracle_picks
                            : proxy.picks[invocation.operation];
    if (picks.empty()) return {};
    const auto eligible = [&](std::uint32_t worker) {
      for (std::size_t k = 0; k < invocation.tried_count; ++k)
        if (invocation.tried[k] == worker) return false;
      return !proxy.forwarder || now >= proxy.ejected_until[worker];
    };
    const auto draw_one = [&]() -> std::uint32_t {
      const double point = uniform() * picks.back().cumulative_weight;
      return std::upper_bound(picks.begin(), picks.end(), point,
                              [](double v, const WeightedWorker& k) { return v < k.cumulative_weight; })
          ->worker;
    };
    for (int k = 0; k < 12; ++k) {
      const auto worker = draw_one();
      if (!eligible(worker)) continue;
      if (!proxy.two_choice) return worker;
      const auto other = draw_one();
      return eligible(other) && proxy.outstanding[other] < proxy.outstanding[worker] ? other : worker;
    }
    // Few are eligible: draw among them by weight, as the stand-ins do. Taking the first would send it
    // everything.
    double before = 0, eligible_weight = 0;
    for (const auto& pick : picks)
      eligible_weight += eligible(pick.worker) ? pick.cumulative_weight - before : 0,
          before = pick.cumulative_weight;
    if (eligible_weight <= 0) return draw_one();
    double point = uniform() * eligible_weight;
    before = 0;
    for (const auto& pick : picks) {
      const double weight = pick.cumulative_weight - std::exchange(before, pick.cumulative_weight);
      if (eligible(pick.worker) && (point -= weight) < 0) return pick.worker;
    }
    return draw_one();
  }

  void forward_try(std::uint32_t id) {
    Invocation& invocation = invocations[id];
    Proxy& proxy = proxies[invocation.proxy];
    const auto worker = pick_worker(proxy, invocation);
    if (!worker) {
      track_unserved(proxy, invocation.operation, true);
      return handle_caller_reply(id, Reply::refused);
    }
    track_unserved(proxy, invocation.operation, false);
    const auto& operation = day.operations[invocation.operation];
    send_try(id, *worker,
             std::max(Span::seconds(0.001), operation.integration_timeout * kForwarderTimeoutShare -
                                                (now - invocation.forwarded_at)));
  }
  void send_try(std::uint32_t id, std::uint32_t worker, Span timeout) {
    Invocation& invocation = invocations[id];
    Proxy& proxy = proxies[invocation.proxy];
    if (proxy.forwarder) {
      counts_of(proxy, worker, invocation.operation).tries += 1;
      ++proxy.outstanding[worker];
    }
    if (invocation.tried_count < invocation.tried.size())
      invocation.tried[invocation.tried_count++] = static_cast<std::uint16_t>(worker);
    ++invocation.worker_tries, ++invocation.generation, invocation.worker = worker;
    ++outcome.tries;
    outcome.retries += invocation.worker_tries + invocation.caller_tries > 2 ||
                               (proxy.forwarder && invocation.worker_tries > 1)
                           ? 1
                           : 0;
    outcome.cross_zone_tries += proxy.zone != workers[worker].spec().zone ? 1 : 0;
    schedule_at(now + timeout, EventType::try_timeout, id, invocation.generation);
    if (is_link_cut(proxy.zone, workers[worker].spec().zone)) return;
    schedule_after(link_latency(proxy.zone, workers[worker].spec().zone), EventType::try_arrives, id,
                   invocation.generation);
  }
  [[nodiscard]] Span link_latency(std::size_t from, std::size_t to) const {
    const auto slow = slow_zone_links.find({from, to});
    return zone_latency(from, to) + (slow == slow_zone_links.end() ? Span{} : slow->second);
  }
  Proxy::TryCounts& counts_of(Proxy& proxy, std::size_t worker, std::size_t operation) {
    const std::size_t key = worker * day.operations.size() + operation;
    auto& counts = proxy.try_counts[key];
    if (counts.tries == 0 && counts.errored == 0)
      proxy.changed_counts.push_back(static_cast<std::uint32_t>(key));
    return counts;
  }
  void track_unserved(Proxy& proxy, std::size_t operation, bool is_unserved) {
    // Clients count as a group, as in the auditor, since one that requests nothing lacks nothing.
    auto& since = proxy.forwarder ? proxy.unserved_since[operation]
                                  : group_unserved_since[proxy.zone * day.operations.size() + operation];
    if (!is_unserved ||
        (proxy.forwarder && !has_leader(static_cast<std::uint32_t>(&proxy - proxies.data()))) ||
        !has_warm_worker()) {
      since.reset();
      return;
    }
    if (!since) since = now;
    outcome.longest_unserved = std::max(outcome.longest_unserved, (now - *since).seconds());
  }
  [[nodiscard]] bool has_warm_worker() {
    for (std::size_t worker = 0; worker < workers.size(); ++worker)
      if (workers[worker].up() && !workers[worker].cold(now) && !draining_since[worker]) return true;
    return false;
  }

  void deliver_try(std::uint32_t id) {
    Invocation& invocation = invocations[id];
    const std::uint32_t worker = invocation.worker;
    WorkerModel& model = workers[worker];
    Proxy& proxy = proxies[invocation.proxy];
    const Span return_latency = link_latency(model.spec().zone, proxy.zone);
    if (!model.up())
      return schedule_after(return_latency, EventType::reply_arrives, id, invocation.generation,
                            static_cast<std::uint32_t>(Reply::refused));
    ++outcome.arrivals_by_worker[worker];
    if (proxy.honors_lifetime && draining_since[worker] && (!proxy.forwarder || has_leader(invocation.proxy)))
      outcome.longest_send_after_drain = std::max(
          outcome.longest_send_after_drain,
          (now - std::max(*draining_since[worker], proxy.forwarder ? led_since[invocation.proxy] : Instant{}))
              .seconds());
    WorkerModel::Job job;
    job.invocation = id, job.generation = invocation.generation, job.operation = invocation.operation,
    job.arrived_at = now;
    job.source = static_cast<std::uint8_t>(proxy.forwarder ? day.zones.size() : proxy.zone);
    job.work = day.operations[invocation.operation].work.seconds() * invocation.work;
    if (model.spec().connect_cost > 0) {
      auto& used = last_connection_use[invocation.proxy * workers.size() + worker];
      if (now - used > Span::seconds(15)) job.work += model.spec().connect_cost;
      used = now;
    }
    started_now.clear();
    const auto admission = model.submit(
        now, job, rng, [this](const WorkerModel::Job& j) { return caller_waiting(j); }, started_now);
    count_executions();
    switch (admission) {
      case WorkerModel::Admission::refused:
        return schedule_after(return_latency, EventType::reply_arrives, id, invocation.generation,
                              static_cast<std::uint32_t>(Reply::refused));
      case WorkerModel::Admission::errored:
        return schedule_after(return_latency, EventType::reply_arrives, id, invocation.generation,
                              static_cast<std::uint32_t>(Reply::errored));
      case WorkerModel::Admission::dropped:
        return;
      case WorkerModel::Admission::accepted:
        break;
    }
    if (model.collapsed()) {
      ++outcome.collapses;
      return crash_worker(worker);
    }
    schedule_finish(worker);
  }
  // Whether a running coordinator with a valid lease leads the forwarder. The rules apply only while one
  // does, and their times are counted from when that began.
  bool has_leader(std::uint32_t forwarder) {
    for (auto& process : processes)
      if (process.up && !process.paused && process.streams[forwarder].up &&
          (!process.cluster ||
           process.cluster->held_term(
               process.cluster_adapter->shard_of(proxy_id(process, forwarder), process.core->settings()),
               local_time(process)))) {
        if (auto& since = proxies[forwarder].leaderless_since; since)
          outcome.leaderless_times.push_back((now - *since).seconds()), since.reset();
        proxies[forwarder].had_leader = true;
        return true;
      }
    led_since[forwarder] = now;
    if (proxies[forwarder].had_leader && !proxies[forwarder].leaderless_since)
      proxies[forwarder].leaderless_since = now;
    return false;
  }
  [[nodiscard]] bool caller_waiting(const WorkerModel::Job& job) const {
    const Invocation& invocation = invocations[job.invocation];
    return invocation.open && invocation.generation == job.generation;
  }
  void count_executions() {
    for (const auto& job : started_now) {
      if (!caller_waiting(job)) continue;
      Invocation& invocation = invocations[job.invocation];
      if (++invocation.executions > 1 && day.operations[invocation.operation].effect == "side-effecting")
        ++outcome.duplicate_effects;
    }
  }
  void schedule_finish(std::uint32_t worker) {
    if (const auto next = workers[worker].next_finish(now))
      schedule_at(*next, EventType::job_finish, worker, ++finish_generation[worker]);
  }
  void finish_jobs(std::uint32_t worker) {
    finished_now.clear(), started_now.clear();
    workers[worker].finish(
        now, [this](const WorkerModel::Job& j) { return caller_waiting(j); }, finished_now, started_now);
    count_executions();
    for (const auto& job : finished_now)
      if (caller_waiting(job))
        schedule_after(
            link_latency(workers[worker].spec().zone, proxies[invocations[job.invocation].proxy].zone),
            EventType::reply_arrives, job.invocation, job.generation,
            static_cast<std::uint32_t>(Reply::succeeded));
    schedule_finish(worker);
  }

  // Handles the outcome of one try at a worker.
  void handle_reply(std::uint32_t id, Reply reply) {
    Invocation& invocation = invocations[id];
    Proxy& proxy = proxies[invocation.proxy];
    const std::uint32_t worker = invocation.worker;
    ++invocation.generation;  // later events of this try are ignored
    const bool succeeded = reply == Reply::succeeded;
    if (proxy.forwarder) {
      --proxy.outstanding[worker];
      auto& counts = counts_of(proxy, worker, invocation.operation);
      if (succeeded) {
        counts.latency_sum += (now - invocation.forwarded_at).seconds();
        proxy.consecutive_failures[worker] = 0;
      } else {
        ++counts.errored;
        if (++proxy.consecutive_failures[worker] >= kFailuresToEject)
          proxy.consecutive_failures[worker] = 0, proxy.ejected_until[worker] = now + kEjectionTime;
      }
    }
    if (succeeded) {
      auto& sample = outcome.latency[workers[worker].name()];
      if (sample.size() < kLatencySamplesPerWorker) sample.push_back((now - invocation.started_at).seconds());
    }
    if (!proxy.forwarder || succeeded) return handle_caller_reply(id, reply);
    const auto& operation = day.operations[invocation.operation];
    const int mode = proxy.retry_mode[invocation.operation];
    const int max_tries = mode == 0 ? 1 : mode == 3 ? 3 : 2;
    const bool not_executed = reply == Reply::refused;
    const bool may_retry = mode > 0 && invocation.worker_tries < max_tries &&
                           (not_executed || (mode >= 2 && operation.may_repeat()));
    if (may_retry && (now - invocation.forwarded_at) < operation.integration_timeout * kRetryCutoffShare &&
        proxy.retry_limiter.allow_retry(now, proxy.retry_budget)) {
      ++proxy.retries_since_report;
      return forward_try(id);
    }
    handle_caller_reply(id, reply);
  }
  // Handles a reply at the caller: its forwarder's, or for a DNS client the worker's.
  void handle_caller_reply(std::uint32_t id, Reply reply) {
    Invocation& invocation = invocations[id];
    const auto& operation = day.operations[invocation.operation];
    const Span elapsed = now - invocation.started_at;
    if (reply == Reply::succeeded)
      return finish_invocation(id, elapsed <= operation.latency_objective ? Result::succeeded : Result::late);
    const bool may_retry = reply == Reply::refused || operation.may_repeat() || day.unsafe.repeat_all;
    const int tries = proxies[invocation.proxy].forwarder ? invocation.caller_tries : invocation.worker_tries;
    if (may_retry && tries < 2 && elapsed < operation.integration_timeout * 0.9) return start_caller_try(id);
    finish_invocation(id, Result::errored);
  }

  // Sends a DNS client's try, after a lookup if its last answer has expired.
  void send_direct(std::uint32_t id) {
    Invocation& invocation = invocations[id];
    Proxy& proxy = proxies[invocation.proxy];
    if (now >= proxy.answer_expires[invocation.operation]) {
      proxy.waiting_lookups[invocation.operation].push_back(id);
      if (proxy.waiting_lookups[invocation.operation].size() > 1) return;
      // Servers are asked in the client's own order; each that does not answer costs a timeout.
      Span wait = options.latency * 2;
      for (std::size_t k = 0; k < processes.size(); ++k) {
        const Process& process = processes[(proxy.first_dns_server + k) % processes.size()];
        if (process.up && !process.paused && process.published) break;
        wait = wait + kDnsTimeout;
      }
      return schedule_after(wait, EventType::lookup_done, invocation.proxy, invocation.operation);
    }
    send_resolved(id);
  }
  void resolve(std::uint32_t proxy_index, std::uint32_t operation) {
    Proxy& proxy = proxies[proxy_index];
    const auto waiting_lookups = std::exchange(proxy.waiting_lookups[operation], {});
    proxy.picks[operation].clear();
    Span lifetime;
    for (std::size_t k = 0; k < processes.size(); ++k) {
      Process& process = processes[(proxy.first_dns_server + k) % processes.size()];
      if (!process.up || process.paused || !process.published ||
          proxy.zone >= process.published->views.size())
        continue;
      add_input(process, coordinator::GroupLookup{ProxyId{static_cast<std::uint16_t>(proxy.zone)}});
      const auto& view = *process.published->views[proxy.zone][operation];
      if (day.levels && view.level.level < 1 && uniform() >= view.level.level) {
        for (const auto id : waiting_lookups) finish_invocation(id, Result::rate_limited);
        return;
      }
      const auto& settings = process.core->settings();
      std::vector<coordinator::Line> accepting_lines;
      for (const auto& line : view.lines)
        if (const auto it = process.published->directory->find(line.backend);
            it != process.published->directory->end() && it->second.accepts_new_work)
          accepting_lines.push_back(line);
      double cumulative_weight = 0;
      const auto add = [&](std::size_t line_index, double weight) {
        const auto worker =
            worker_by_name.find(process.published->directory->at(accepting_lines[line_index].backend).name);
        if (worker != worker_by_name.end())
          proxy.picks[operation].push_back({worker->second, cumulative_weight += weight});
      };
      if (proxy.by_address) {
        for (const auto chosen :
             coordinator::sample_uniform(accepting_lines, static_cast<std::size_t>(settings.addresses_most),
                                         proxy.sampling_phases[operation].next()))
          add(chosen, 1);
      } else {
        const auto drawn =
            coordinator::sample_tiered(accepting_lines, static_cast<std::size_t>(settings.lines_most),
                                       proxy.sampling_phases[operation].next());
        int first = INT_MAX;
        for (const auto& d : drawn) first = std::min(first, accepting_lines[d.index].tier);
        // With two tries a client does not get past the first tier of its answer.
        for (const auto& d : drawn)
          if (accepting_lines[d.index].tier == first) add(d.index, d.weight);
      }
      lifetime = process.published->lifetime;
      break;
    }
    track_unserved(proxy, operation, proxy.picks[operation].empty());
    proxy.answer_expires[operation] =
        now + lifetime * (proxy.honors_lifetime ? 1 : kDisobedientLifetimeFactor);
    for (const auto id : waiting_lookups)
      if (invocations[id].open) send_resolved(id);
  }
  void send_resolved(std::uint32_t id) {
    Invocation& invocation = invocations[id];
    const auto worker = pick_worker(proxies[invocation.proxy], invocation);
    if (!worker) return finish_invocation(id, Result::no_line);
    const auto& operation = day.operations[invocation.operation];
    const Span remaining = operation.integration_timeout - (now - invocation.started_at);
    send_try(id, *worker,
             std::max(Span::seconds(0.001),
                      std::min(remaining, operation.integration_timeout * kClientTryTimeoutShare)));
  }

  // ---- Faults --------------------------------------------------------------------------------------------

  void crash_worker(std::uint32_t worker) {
    for (const auto& job : workers[worker].crash(now))
      if (caller_waiting(job))
        schedule_after(options.latency, EventType::reply_arrives, job.invocation, job.generation,
                       static_cast<std::uint32_t>(Reply::no_reply));
    ++finish_generation[worker];
    outcome.worst_cold_overload = std::max(outcome.worst_cold_overload, workers[worker].peak_cold_load());
  }
  void announce_roster() {
    if (roster_frozen) return;
    for (auto& process : processes)
      schedule_after(kMaxRosterDelay * uniform(), EventType::roster_update, index(process),
                     process.incarnation);
  }

  void start_fault(std::uint32_t fault_index) {
    const InjectedFault& fault = day.troubles[fault_index];
    affected[fault_index].clear();
    using enum InjectedFaultKind;
    switch (fault.kind) {
      case stale_list:
        roster_frozen = true;
        break;
      case cut_link:
      case slow_link:
        for (std::size_t z = 0; z < day.zones.size(); ++z)
          if (z != zone_index(fault.zone) && (fault.to.empty() || zone_index(fault.to) == z))
            for (const auto& pair :
                 {std::pair{zone_index(fault.zone), z}, std::pair{z, zone_index(fault.zone)}}) {
              if (fault.one_way && pair.first != zone_index(fault.zone)) continue;
              if (fault.kind == cut_link) {
                cut_zone_links.insert(pair);
              } else {
                slow_zone_links[pair] = Span::seconds(fault.size);
              }
            }
        break;
      default:
        break;
    }
    if (fault.kind >= forwarder_restart && fault.kind <= streams) {
      std::vector<std::size_t> in_zone;
      for (std::size_t forwarder = 0; forwarder < forwarder_places.size(); ++forwarder)
        if (fault.zone.empty() || forwarder_places[forwarder].zone == fault.zone)
          in_zone.push_back(forwarder);
      const std::size_t count =
          fault.count > 0
              ? static_cast<std::size_t>(fault.count)
              : static_cast<std::size_t>(std::lround(fault.part * static_cast<double>(in_zone.size())));
      for (std::size_t position = 0; position < std::min(count, in_zone.size()); ++position) {
        const std::size_t forwarder = in_zone[position];
        if (fault.kind == forwarder_restart)
          load_initial_table(proxies[forwarder]),
              highest_applied_term.erase(static_cast<std::uint32_t>(forwarder));
        if (fault.kind == forwarder_restart || fault.kind == streams) {
          for (auto& process : processes)
            if (process.up && process.streams[forwarder].up) {
              const auto term = process.streams[forwarder].term;
              close_stream(process, forwarder);
              open_stream(process, forwarder, term, false);
            }
        } else {
          proxies[forwarder].fault = fault.kind,
          affected[fault_index].push_back(static_cast<std::uint32_t>(forwarder));
        }
      }
    } else if (fault.kind < forwarder_restart || fault.kind == late_reports || fault.kind == ageing ||
               fault.kind == false_reports) {
      std::vector<std::uint32_t> in_zone;
      for (std::uint32_t worker = 0; worker < workers.size(); ++worker)
        if ((fault.zone.empty() || day.zones[workers[worker].spec().zone] == fault.zone) &&
            workers[worker].healthy())
          in_zone.push_back(worker);
      std::size_t zone_workers = 0;
      for (const auto& worker : workers)
        zone_workers += fault.zone.empty() || day.zones[worker.spec().zone] == fault.zone ? 1 : 0;
      const std::size_t count =
          fault.count > 0
              ? static_cast<std::size_t>(fault.count)
              : static_cast<std::size_t>(std::lround(fault.part * static_cast<double>(zone_workers)));
      for (const auto worker : in_zone) {
        if (affected[fault_index].size() >= (fault.kind == errors && fault.count == 0 ? zone_workers : count))
          break;
        affected[fault_index].push_back(worker);
      }
      for (const auto worker : affected[fault_index]) {
        if (fault.kind == InjectedFaultKind::crash) {
          this->crash_worker(worker);
        } else if (fault.kind == late_reports) {
          load_report_delay[worker] = Span::seconds(fault.size);
        } else if (fault.kind == false_reports) {
          workers[worker].set_reported_util_factor(fault.size);
        } else if (fault.kind == ageing) {
          workers[worker].scale_speed(1 / std::max(1e-3, fault.size));
        } else {
          if (fault.kind != drain || !day.unsafe.drain_untold)
            workers[worker].inject_fault(now, fault.kind, fault.kind == errors ? fault.part : fault.size);
          if (fault.kind == drain) set_draining(worker, true);
          ++finish_generation[worker];
          schedule_finish(worker);
        }
      }
      if (fault.kind == drain) announce_roster();
    }
    schedule_after(fault.lasts, EventType::fault_end, fault_index);
  }
  void set_draining(std::uint32_t worker, bool drain) {
    roster[worker].draining = drain && !day.unsafe.drain_untold;
    draining_since[worker] = drain ? std::optional{now} : std::nullopt;
  }
  void end_fault(std::uint32_t fault_index) {
    const InjectedFault& fault = day.troubles[fault_index];
    using enum InjectedFaultKind;
    if (fault.kind == stale_list) roster_frozen = false, announce_roster();
    if (fault.kind == cut_link) cut_zone_links.clear();
    if (fault.kind == slow_link) slow_zone_links.clear();
    for (const auto worker : affected[fault_index]) {
      if (fault.kind >= forwarder_restart && fault.kind <= streams) {
        proxies[worker].fault.reset();
      } else if (fault.kind == InjectedFaultKind::crash) {
        workers[worker].start(now, true);
      } else if (fault.kind == late_reports) {
        load_report_delay[worker] = {};
      } else if (fault.kind == false_reports) {
        workers[worker].set_reported_util_factor(1);
      } else if (fault.kind == ageing) {
        workers[worker].scale_speed(std::max(1e-3, fault.size));
      } else {
        if (fault.kind == drain) set_draining(worker, false);
        for (const auto& job : workers[worker].recover(now))
          if (caller_waiting(job))
            schedule_after(options.latency, EventType::reply_arrives, job.invocation, job.generation,
                           static_cast<std::uint32_t>(Reply::no_reply));
        ++finish_generation[worker];
        schedule_finish(worker);
      }
    }
    if (fault.kind == drain) announce_roster();
  }

  // ---- Measurements and event loop -----------------------------------------------------------------------

  void check_rules() {
    if (day.shared) {
      std::map<std::size_t, int> leaders;
      for (auto& process : processes) {
        if (!process.up || forwarder_places.empty()) continue;
        for (std::size_t k = 0; k < process.cluster->shards(); ++k)
          leaders[k] +=
              process.cluster->held_term(cluster::ShardId{static_cast<std::uint16_t>(k)}, local_time(process))
                  ? 1
                  : 0;
      }
      for (const auto& [shard, n] : leaders) outcome.double_leaders += n > 1 ? 1 : 0;
    }
    for (std::size_t forwarder = 0; forwarder < forwarder_places.size(); ++forwarder)
      static_cast<void>(has_leader(static_cast<std::uint32_t>(forwarder)));
    for (std::size_t forwarder = 0; forwarder < forwarder_places.size(); ++forwarder)
      for (std::size_t k = 0; k < day.operations.size(); ++k)
        track_unserved(proxies[forwarder], k, proxies[forwarder].picks[k].empty());
    if (now < day_start + day.length) schedule_after(Span::seconds(0.02), EventType::rule_check);
  }
  void take_sample() {
    Outcome::SecondSample sample;
    sample.at = (now - day_start).seconds();
    sample.weight_by_zone.assign(day.zones.size(), 0), sample.tries_by_zone.assign(day.zones.size(), 0);
    for (const auto& process : processes)
      if (process.up) {
        for (const auto& backend : process.core->backends())
          sample.weight_by_zone[zone_index(backend.zone)] += backend.weight;
        break;
      }
    last_arrivals.resize(workers.size());
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
      sample.tries_by_zone[workers[worker].spec().zone] +=
          static_cast<double>(outcome.arrivals_by_worker[worker] - last_arrivals[worker]);
      last_arrivals[worker] = outcome.arrivals_by_worker[worker];
      outcome.worst_cold_overload = std::max(outcome.worst_cold_overload, workers[worker].peak_cold_load());
    }
    outcome.samples.push_back(std::move(sample));
    track_moved_load();
    schedule_after(Span::seconds(1), EventType::second_tick);
  }
  // Adds the share of all forwarded load that table changes moved between zones in the last second.
  void track_moved_load() {
    if (now < day_start) return;
    const std::size_t zones = day.zones.size();
    std::vector<double> new_shares(forwarder_places.size() * zones, 0);
    double total_rate = 0, moved_rate = 0;
    for (std::size_t forwarder = 0; forwarder < forwarder_places.size(); ++forwarder) {
      const auto& picks = proxies[forwarder].picks.front();
      double before = 0;
      for (const auto& pick : picks) {
        new_shares[forwarder * zones + workers[pick.worker].spec().zone] +=
            (pick.cumulative_weight - before) / picks.back().cumulative_weight;
        before = pick.cumulative_weight;
      }
      total_rate += proxies[forwarder].rate;
      double difference = 0;
      if (!zone_shares.empty())
        for (std::size_t z = 0; z < zones; ++z)
          difference += std::abs(new_shares[forwarder * zones + z] - zone_shares[forwarder * zones + z]) / 2;
      moved_rate += difference * proxies[forwarder].rate;
    }
    if (total_rate > 0) outcome.moved_load += moved_rate / total_rate;
    zone_shares = std::move(new_shares);
  }
  void churn_weights() {
    if (now > day_start + day.length - day.settle) return;
    for (std::size_t k = 0; k < roster.size(); ++k)
      roster[k].weight = configured_roster[k].weight * (0.6 + 0.4 * uniform());
    announce_roster();
    schedule_after(day.churn, EventType::weight_churn);
  }

  Process* process_of(const Event& event) {
    switch (event.type) {
      case EventType::load_poll:
      case EventType::health_retry:
      case EventType::health_timeout:
      case EventType::core_step:
      case EventType::core_wakeup:
      case EventType::report_due:
      case EventType::stream_open:
      case EventType::batch_acknowledged:
      case EventType::message_arrives:
      case EventType::cluster_tick:
      case EventType::fact_exchange:
      case EventType::roster_update:
      case EventType::store_write:
        return &processes[event.target];
      default:
        return nullptr;
    }
  }

  void dispatch(const Event& event) {
    Process* process = process_of(event);
    if (process != nullptr && (!process->up || process->paused)) {
      if (event.type == EventType::message_arrives && !process->up) messages.erase(event.detail);
      if (process->up) process->deferred_events.push_back(event);
      return;
    }
    switch (event.type) {
      case EventType::request_due:
        if (event.detail != rate_generation || now > day_start + day.length - day.settle) return;
        if (now >= day_start) start_invocation(event.target);
        return schedule_request(event.target);
      case EventType::lookup_done:
        return resolve(event.target, event.detail);
      case EventType::try_arrives:
        if (invocations[event.target].open && invocations[event.target].generation == event.detail)
          deliver_try(event.target);
        return;
      case EventType::reply_arrives:
        if (invocations[event.target].open && invocations[event.target].generation == event.detail)
          handle_reply(event.target, static_cast<Reply>(event.guard));
        return;
      case EventType::try_timeout:
        if (invocations[event.target].open && invocations[event.target].generation == event.detail)
          handle_reply(event.target, Reply::no_reply);
        return;
      case EventType::caller_timeout:
        if (invocations[event.target].open && invocations[event.target].caller_generation == event.detail) {
          // The caller gives up, and the forwarder counts its try in progress as errored.
          Invocation& invocation = invocations[event.target];
          if (proxies[invocation.proxy].forwarder) {
            --proxies[invocation.proxy].outstanding[invocation.worker];
            ++counts_of(proxies[invocation.proxy], invocation.worker, invocation.operation).errored;
          }
          ++invocation.generation;
          handle_caller_reply(event.target, Reply::no_reply);
        }
        return;
      case EventType::job_finish:
        if (finish_generation[event.target] == event.detail && workers[event.target].up())
          finish_jobs(event.target);
        return;
      case EventType::load_poll:
        if (process->incarnation != event.guard) return;
        poll_load(*process, event.detail);
        return schedule_after(load_interval(*process), EventType::load_poll, event.target, event.detail,
                              event.guard);
      case EventType::health_timeout:
        if (process->incarnation != event.guard) return;
        process->health_pending[event.detail] = false;
        if (process->backend_ids[event.detail])
          add_input(*process, coordinator::HealthCheckResult{*process->backend_ids[event.detail],
                                                             coordinator::Health::failed, kHealthTimeout});
        return schedule_after(kHealthRetryDelay, EventType::health_retry, event.target, event.detail,
                              event.guard);
      case EventType::health_retry:
        if (process->incarnation == event.guard && process->backend_ids[event.detail] &&
            !process->health_pending[event.detail])
          static_cast<void>(check_health_once(*process, event.detail));
        return;
      case EventType::core_step:
        if (process->incarnation == event.detail && process->step_scheduled) step(*process);
        return;
      case EventType::core_wakeup:
        if (process->wakeup_id == event.detail) step(*process);
        return;
      case EventType::report_due:
        if (process->incarnation != event.detail) return;
        send_report(*process);
        return schedule_after(process->core->settings().report_every, EventType::report_due, event.target,
                              event.detail);
      case EventType::stream_open:
        if (process->streams[event.detail].incarnation == event.guard)
          stream_opened(*process, event.detail), led_since[event.detail] = now;
        return;
      case EventType::batch_arrives:
        if (!withheld_batches.contains(event.target)) apply_batch(event.target);
        return;
      case EventType::batch_acknowledged:
        if (process->streams[event.detail].incarnation != event.guard) return;
        process->streams[event.detail].batch_in_flight = false;
        return send_next_batch(*process, event.detail);
      case EventType::message_arrives:
        if (const auto message = messages.extract(event.detail); !message.empty()) {
          process->cluster->receive(local_time(*process), message.mapped());
          tick_cluster(*process);
        }
        return;
      case EventType::cluster_tick:
        if (process->cluster_wakeup_id == event.detail) tick_cluster(*process);
        return;
      case EventType::fact_exchange: {
        if (process->incarnation != event.detail) return;
        bool changed = false;
        apply_cluster_update(*process, process->cluster_adapter->exchange_facts(local_time(*process),
                                                                                *process->core, changed));
        if (changed) tick_cluster(*process);
        return schedule_after(kFactExchangeInterval, EventType::fact_exchange, event.target, event.detail);
      }
      case EventType::process_fault:
        if (event.detail == 1) return pause(processes[event.target]);
        if (processes[event.target].up) stop(processes[event.target]);
        return;
      case EventType::fault_start:
        return start_fault(event.target);
      case EventType::fault_end:
        return end_fault(event.target);
      case EventType::process_stop: {
        const auto& kill = day.kills[event.target];
        Process& victim = processes[std::strtoul(kill.coordinator.c_str() + 6, nullptr, 10) - 1];
        if (kill.pause) {
          pause(victim);
        } else if (victim.up) {
          if (kill.planned && victim.cluster) {
            static_cast<void>(victim.cluster->hand_over_all(local_time(victim)));
            tick_cluster(victim);  // sends the hand-over messages before it stops
          }
          stop(victim);
        }
        return schedule_after(kill.lasts, EventType::process_restart, event.target);
      }
      case EventType::process_restart: {
        const auto& kill = day.kills[event.target];
        Process& victim = processes[std::strtoul(kill.coordinator.c_str() + 6, nullptr, 10) - 1];
        if (kill.pause) {
          resume(victim);
        } else if (!victim.up) {
          start(victim);
        }
        return;
      }
      case EventType::phase_start:
        rate_factor = day.phases[event.target].rate, ++rate_generation;
        for (std::uint32_t proxy = 0; proxy < proxies.size(); ++proxy) schedule_request(proxy);
        return;
      case EventType::roster_update:
        if (process->incarnation == event.detail) add_roster(*process);
        return;
      case EventType::second_tick:
        return take_sample();
      case EventType::weight_churn:
        return churn_weights();
      case EventType::random_fault:
        return inject_random_fault();
      case EventType::rule_check:
        return check_rules();
      case EventType::operator_command:
        for (auto& each : processes)
          if (each.up) add_input(each, day.operator_commands[event.target].command);
        return;
      case EventType::store_write: {
        if (process->incarnation != event.detail) return;
        process->stored_facts.clear();
        for (const auto& [subject, fact] : process->core->facts())
          process->stored_facts.push_back(
              {subject, fact, local_time(*process), process->stored_facts.size() + 1, false});
        process->stored_at = now;
        return schedule_after(options.store_interval, EventType::store_write, event.target, event.detail);
      }
    }
  }

  Outcome run() {
    build();
    const Instant end = day_start + day.length;
    bool faults_cleared = options.random_faults == 0;
    while (!events.empty()) {
      const Event event = events.top();
      if (Instant{} + Span::micros(event.at) > end) break;
      events.pop();
      now = Instant{} + Span::micros(event.at);
      if (!faults_cleared && now > end - Span::seconds(6)) faults_cleared = true, clear_random_faults();
      dispatch(event);
    }
    now = end;
    for (const auto& worker : workers)
      outcome.worst_cold_overload = std::max(outcome.worst_cold_overload, worker.peak_cold_load());
    return std::move(outcome);
  }

  const Day day;
  SimulationSettings options;
  std::mt19937 rng;
  const Instant day_start = Instant::at_seconds(1000);
  Instant now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t sequence = 0;
  std::vector<Prefix> sources;
  std::vector<script::ForwarderInstance> forwarder_places;
  std::vector<script::RosterLine> roster, configured_roster;
  std::vector<WorkerModel> workers;
  std::map<std::string, std::uint32_t> worker_by_name;
  std::vector<std::uint32_t> finish_generation;
  std::vector<std::optional<Instant>> draining_since;
  std::vector<Span> load_report_delay;
  std::vector<double> shares;
  std::discrete_distribution<int> draw_operation;
  std::vector<Proxy> proxies;  // forwarders first
  std::vector<WeightedWorker> oracle_picks;
  std::vector<double> zone_shares;                           // by forwarder and zone, a second ago
  std::vector<std::optional<Instant>> group_unserved_since;  // by zone and operation
  std::deque<Process> processes;
  std::vector<Invocation> invocations;
  std::vector<std::uint32_t> free_ids;
  std::vector<WorkerModel::Job> started_now, finished_now;
  std::vector<Instant> last_connection_use;
  std::map<std::uint32_t, Batch> batches;
  std::set<std::uint32_t> withheld_batches;
  std::vector<std::uint32_t> delayed_batches;
  std::uint32_t last_batch_id = 0, last_message_id = 0, rate_generation = 0;
  std::map<std::uint32_t, cluster::Message> messages;
  std::map<std::uint32_t, std::uint64_t> highest_applied_term;  // by forwarder
  std::map<std::uint32_t, Instant> led_since;
  std::shared_ptr<const coordinator::DesiredTable> planned_table;
  forwarders::ActualTable planned_from;
  std::vector<forwarders::Change> planned_changes;
  std::set<std::pair<std::size_t, std::size_t>> cut_zone_links, cut_process_links, slow_process_links;
  std::map<std::pair<std::size_t, std::size_t>, Span> slow_zone_links;
  std::map<std::size_t, bool>
      armed_processes;  // to be stopped (false) or paused (true) during their next batch
  double message_loss = 0, rate_factor = 1;
  bool roster_frozen = false;
  std::map<std::uint32_t, std::vector<std::uint32_t>> affected;  // by fault index
  std::vector<std::uint64_t> last_arrivals;
  Tally uncounted;
  Outcome outcome;
};

Simulation::Simulation(const Day& day, SimulationSettings settings)
    : state_{std::make_unique<State>(day, std::move(settings))} {}
Simulation::~Simulation() = default;
Outcome Simulation::run() { return state_->run(); }

}  // namespace gorsemount::lab

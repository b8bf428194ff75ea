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

// As the stand-ins behave (standins/client.cpp, standins/forwarder.cpp); the two are compared by a test.
constexpr double kGiveUp = 0.7;         // of the integration timeout, for one try of a client
constexpr double kForwarderTime = 0.8;  // and for all tries of a forwarder
constexpr double kFurther = 0.6;        // no further try begins after this part
constexpr int kFailures = 4;            // in a row before a forwarder keeps away from a worker
const Span kAway = Span::seconds(3);
const Span kLineTakes = Span::seconds(40e-6);  // that a forwarder stands still for each line it reads
const Span kPatience = Span::seconds(0.3);     // of a client with a DNS server that says nothing
constexpr double kTooLong = 10;                // times the lifetime, of a client that does not obey
const Span kRosterLate = Span::seconds(0.5);   // at most, till a coordinator has read a list that changed
const Span kHealthAgain = Span::seconds(0.06), kHealthTimeout = Span::seconds(0.8);
const Span kTellCluster = Span::seconds(0.25);
const Span kPrelude =
    Span::seconds(1.5);                  // coordinators stand that long before the day begins, as on loopback
constexpr std::size_t kBuckets = 10;     // a coordinator's polls of an interval come in so many portions
constexpr std::size_t kLatencies = 400;  // kept of each worker

enum class What : std::uint8_t {
  ask,
  enter,
  arrive,
  answer,
  try_over,
  wait_over,
  finish,
  poll,
  health_again,
  health_failed,
  step,
  wake,
  report,
  stream,
  batch,
  batch_done,
  message,
  cluster_wake,
  tell,
  strike_host,
  trouble,
  trouble_over,
  kill,
  kill_over,
  phase,
  roster,
  second,
  churn,
  fault,
  write_down,
  watch,
  person
};
enum class Reply : std::uint32_t { well, refused, errored, broken };

struct Event {
  std::int64_t at = 0;
  std::uint64_t order = 0;
  What what = What::ask;
  std::uint32_t a = 0, b = 0, c = 0;
  bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
};

struct Invocation {
  bool open = false;
  std::uint8_t operation = 0, outer = 0, inner = 0, begun = 0, ntried = 0;
  std::uint32_t proxy = 0, generation = 0, round = 0, worker = 0;
  std::array<std::uint16_t, 6> tried{};
  float work = 1;  // of its operation's mean
  Instant came, forwarded;
};

struct Pick {
  std::uint32_t worker = 0;
  double upto = 0;
};

// A forwarder with its callers, or a client that looks up for itself.
struct Proxy {
  bool forwarder = false, two_choice = false, by_address = false, obeys = true;
  std::size_t zone = 0, led_by = 1, first_server = 0;
  double rate = 0;
  std::mt19937 demand;  // of its own, so that what is asked does not hang on what was answered
  std::vector<std::vector<Pick>> picks;  // by operation
  // forwarders
  forwarders::ActualTable held;
  std::uint64_t highest = 0;
  std::vector<Instant> away;
  std::vector<std::uint8_t> in_a_row;
  std::vector<std::uint16_t> out;
  std::vector<double> level, limit;  // by operation
  std::vector<int> further;
  std::vector<std::pair<double, Instant>> tokens;
  struct Met {
    int tries = 0, errored = 0;
    double waited = 0;
  };
  std::vector<Met> met;  // by worker and operation, since the last report
  std::vector<std::uint32_t> touched;
  std::vector<int> arrived;
  int again = 0;  // further tries since the last report
  int retries = -1;
  limits::RetryLimiter meter;
  std::optional<InjectedFaultKind> fault;
  std::optional<Instant> unled_since;
  bool was_led = false;
  std::vector<std::optional<Instant>> bare;
  // clients
  std::vector<Instant> until;
  std::vector<std::vector<std::uint32_t>> waiting;
  std::vector<coordinator::LowDiscrepancySequence> phases;
};

struct Stream {
  bool up = false, busy = false, taken_over = false;
  std::uint32_t life = 0;
  std::optional<std::uint64_t> term;
  std::shared_ptr<const coordinator::DesiredTable> wanted;
  std::uint64_t holds = 0;
};

struct Batch {
  std::uint32_t proxy = 0, host = 0, life = 0;
  std::optional<std::uint64_t> term;
  std::vector<forwarders::Change> changes;
  bool cut = false;  // its sender died while it was sent
};

struct Host {
  std::size_t number = 1, zone = 0;
  std::unique_ptr<Coordinator> core;
  std::unique_ptr<cluster::Cluster> cluster;
  std::unique_ptr<shared_fleet::ClusterAdapter> part;
  bool up = false, paused = false, gathering = false;
  double rate = 1, offset = 0;
  std::vector<Input> inputs;
  std::vector<Event> missed;  // while it stood still
  std::uint32_t wake = 0, cluster_wake = 0, life = 0;
  std::shared_ptr<const coordinator::PublishedState> published;
  std::vector<Stream> streams;  // by forwarder
  std::vector<recovery::Entry> kept;
  std::optional<Instant> kept_at;             // true time
  std::vector<std::optional<BackendId>> ids;  // by worker
  std::vector<bool> asking;                   // a health call without an answer yet
  std::vector<std::uint16_t> ids_of_fronts;
  std::vector<std::size_t> fronts;  // by place in its settings
};

}  // namespace

void Tally::add(const Tally& o) {
  offered_value += o.offered_value, value_in_time += o.value_in_time, invocations += o.invocations,
      succeeded += o.succeeded, late += o.late;
  errored += o.errored, rate_limited += o.rate_limited, no_line += o.no_line;
}

double Outcome::worst_ten_seconds() const {
  double worst = 1;
  for (const auto& t : by_ten_seconds)
    if (t.offered_value > 0) worst = std::min(worst, t.service());
  return worst;
}

std::vector<std::string> Outcome::broken_rules(const Day& day) const {
  std::vector<std::string> all;
  if (longest_unserved > day.unserved.seconds()) all.emplace_back("1 nobody left without a worker");
  if (duplicate_effects > 0) all.emplace_back("2 no effect twice");
  if (longest_send_after_drain > day.drain_grace.seconds() + 0.05) all.emplace_back("3 drains kept");
  if (fell > 0 || worst_cold_overload > day.tip_multiple) all.emplace_back("4 no cold worker pushed over");
  if (most_waiting_lines > day.backlog) all.emplace_back("5 lines waiting in a channel");
  if (stale_terms_accepted > 0) all.emplace_back("no order of a lower term");
  if (double_leaders > 0) all.emplace_back("never two leaders");
  return all;
}

coordinator::Settings settings_of(const Day& day, std::size_t number) {
  config::Findings findings;
  const auto s = config::read_settings(script::coordinator_settings(day, {}, number, "."), "day", findings);
  return s.core;
}

struct Simulation::State {
  State(const Day& given, SimulationSettings settings)
      : day{given}, s{std::move(settings)}, chance{static_cast<std::uint32_t>(s.seed)} {
    s.keep_store = s.keep_store || day.keeps;
  }

  // ---- Time ----------------------------------------------------------------------------------------------

  void at(Instant when, What what, std::uint32_t a = 0, std::uint32_t b = 0, std::uint32_t c = 0) {
    events.push({std::max((when - Instant{}).micros(), (now - Instant{}).micros()), ++order, what, a, b, c});
  }
  void after(Span span, What what, std::uint32_t a = 0, std::uint32_t b = 0, std::uint32_t c = 0) {
    at(now + span, what, a, b, c);
  }
  [[nodiscard]] Instant local(const Host& h) const {
    return begin + Span::seconds(h.offset) + (now - begin) * h.rate;
  }
  [[nodiscard]] Instant truth(const Host& h, Instant local) const {
    // A little later rather than earlier: what is due must be found due.
    return begin + Span::seconds(((local - begin).seconds() - h.offset) / h.rate) + Span::micros(2);
  }
  double uniform() { return std::uniform_real_distribution<>{}(chance); }
  [[nodiscard]] Span between(std::size_t a, std::size_t b) const {
    return a == b ? s.latency : s.latency_across;
  }

  // ---- Who is there --------------------------------------------------------------------------------------

  void build() {
    now = begin - kPrelude;
    const std::size_t zones = day.zones.size(), ops = day.operations.size();
    const script::AddressPlan places;
    for (std::size_t z = 0; z < zones; ++z) sources.push_back({masked(places.clients_of(z).address, 16), 16});
    fronts = script::forwarders_of(day, places);
    // All forwarders stand behind one source: their counts are theirs to tell, and only sums of them matter.
    if (!fronts.empty()) sources.push_back({masked(fronts[0].at, 24), 24});
    roster = script::roster_of(day, places);
    usual = roster;
    std::map<std::string, std::size_t> numbers;
    for (const auto& w : day.workers) {
      WorkerKind k;
      k.zone = zone_of(w.zone), k.cores = w.cores, k.speed = w.speed, k.queue_most = w.queue_most;
      k.slots = w.slots > 0 ? w.slots : static_cast<int>(w.cores);
      k.connect_cost = w.connect_cost.seconds(), k.loss = w.loss, k.cancels = w.cancels;
      k.cold_for = day.cold_for, k.tip_after = day.tip_after, k.drain_grace = day.drain_grace;
      k.cold_from = day.cold_from, k.tip_multiple = day.tip_multiple;
      for (int n = 0; n < w.count; ++n) {
        workers.emplace_back(script::worker_name(day, k.zone, ++numbers[w.zone]), k, sources, ops);
        workers.back().start(now, false);
      }
    }
    finishes.assign(workers.size(), 0), told_draining.assign(workers.size(), std::nullopt),
        late_load.assign(workers.size(), Span{});
    for (std::size_t w = 0; w < workers.size(); ++w) place[workers[w].name()] = static_cast<std::uint32_t>(w);
    for (const auto& op : day.operations) shares.push_back(op.share);
    pick_operation = std::discrete_distribution<int>{shares.begin(), shares.end()};
    for (std::size_t f = 0; f < fronts.size(); ++f) {
      Proxy p;
      p.forwarder = true, p.zone = zone_of(fronts[f].zone), p.led_by = fronts[f].led_by,
      p.two_choice = fronts[f].kind.two_choice;
      p.rate = fronts[f].kind.rate * fronts[f].kind.clients / fronts[f].kind.count;
      p.away.resize(workers.size()), p.in_a_row.resize(workers.size()), p.out.resize(workers.size());
      p.met.resize(workers.size() * ops), p.arrived.assign(ops, 0), p.tokens.resize(ops), p.bare.resize(ops);
      proxies.push_back(std::move(p));
      configure(proxies.back());
    }
    std::map<std::string, std::size_t> clients;
    for (const auto& c : day.clients)
      for (int n = 0; n < c.count; ++n) {
        Proxy p;
        p.zone = zone_of(c.zone), p.rate = c.rate, p.by_address = n < c.by_address * c.count,
        p.obeys = n >= c.disobedient;
        p.first_server = ++clients[c.zone] % day.coordinators.size();
        p.until.resize(ops), p.waiting.resize(ops), p.phases.resize(ops), p.picks.resize(ops);
        for (auto& phase : p.phases)
          for (std::uint64_t k = chance() % 64; k > 0; --k) static_cast<void>(phase.next());
        proxies.push_back(std::move(p));
      }
    for (std::size_t p = 0; p < proxies.size(); ++p) {
      std::seed_seq seed{static_cast<std::uint32_t>(s.seed), static_cast<std::uint32_t>(p)};
      proxies[p].demand.seed(seed);
    }
    last_used.assign(proxies.size() * workers.size(), Instant{});
    groups_bare.resize(zones * ops);
    out.by_operation.resize(ops), out.by_zone.resize(zones), out.arrivals_by_worker.resize(workers.size());
    for (std::size_t n = 1; n <= day.coordinators.size(); ++n) {
      Host& h = hosts.emplace_back();
      h.number = n, h.zone = zone_of(day.coordinators[n - 1]);
      h.rate = 1 + s.clock_drift * (uniform() - 0.5), h.offset = s.clock_drift > 0 ? 1000 * uniform() : 0;
      start(h);
    }
    for (std::size_t p = 0; p < proxies.size(); ++p) next_ask(static_cast<std::uint32_t>(p));
    for (std::size_t k = 0; k < day.troubles.size(); ++k)
      at(begin + day.troubles[k].at, What::trouble, static_cast<std::uint32_t>(k));
    for (std::size_t k = 0; k < day.kills.size(); ++k)
      at(begin + day.kills[k].at, What::kill, static_cast<std::uint32_t>(k));
    for (std::size_t k = 0; k < day.phases.size(); ++k)
      at(begin + day.phases[k].at, What::phase, static_cast<std::uint32_t>(k));
    for (std::size_t k = 0; k < day.operator_commands.size(); ++k)
      at(begin + day.operator_commands[k].at, What::person, static_cast<std::uint32_t>(k));
    after(Span::seconds(1), What::second);
    after(Span::seconds(0.1), What::watch);
    if (day.churn > Span{}) after(day.churn, What::churn);
    for (int k = 0; k < s.random_faults; ++k)
      at(begin + Span::seconds(3 + (day.length.seconds() - 9) * uniform()), What::fault);
  }
  [[nodiscard]] std::size_t zone_of(const std::string& name) const {
    return static_cast<std::size_t>(std::find(day.zones.begin(), day.zones.end(), name) - day.zones.begin());
  }

  // As its own configuration has it: up to four workers of its zone.
  void configure(Proxy& p) {
    p.held = {}, p.highest = 0;
    std::size_t n = 0;
    for (const auto& line : usual)
      if (zone_of(line.zone) == p.zone && n++ < 4)
        for (const auto& op : day.operations)
          p.held.lines[{op.name, line.name}] = {line.at, 100, forwarders::ServerState::ready};
    read_table(p);
  }
  void read_table(Proxy& p) {
    const std::size_t ops = day.operations.size();
    p.picks.assign(ops, {}), p.level.assign(ops, 1), p.limit.assign(ops, -1), p.further.assign(ops, 1);
    for (std::size_t k = 0; k < ops; ++k) {
      const std::string& op = day.operations[k].name;
      double upto = 0;
      for (auto it = p.held.lines.lower_bound({op, ""}); it != p.held.lines.end() && it->first.first == op;
           ++it)
        if (it->second.effective_weight() > 0)
          if (const auto w = place.find(it->first.second); w != place.end())
            p.picks[k].push_back({w->second, upto += it->second.effective_weight()});
      const auto value = [&](const char* what, int otherwise) {
        const auto it = p.held.values.find(what + op);
        return it == p.held.values.end() ? otherwise : it->second;
      };
      p.level[k] = value("level_", 1000) / 1000.0, p.further[k] = value("tries_", 1);
      const int limit = value("rate_", -1);
      const auto retries = p.held.values.find("retries");
      p.retries = retries == p.held.values.end() ? -1 : retries->second;
      p.limit[k] = limit < 0 || limit >= 1'000'000'000 ? -1 : limit / 10.0;
    }
  }

  [[nodiscard]] coordinator::DecisionMaker decide(const coordinator::Settings& settings) const {
    if (s.decision_maker == DecisionMakerKind::fixed_weights) return coordinator::fixed_weights();
    return s.decision_maker == DecisionMakerKind::zone_local ? coordinator::zone_local()
                                                             : coordinator::policy_decision_maker(settings);
  }

  // ---- Coordinators --------------------------------------------------------------------------------------

  void start(Host& h) {
    h.up = true, h.paused = false, h.gathering = false, ++h.life;
    h.inputs.clear(), h.missed.clear();
    h.published.reset(), h.ids.assign(workers.size(), std::nullopt), h.asking.assign(workers.size(), false);
    h.streams.assign(fronts.size(), {});
    auto settings = s.settings ? s.settings(h.number) : settings_of(day, h.number);
    if (s.decision_maker != DecisionMakerKind::policy)
      settings.spill = false;  // what it is to be compared with
    h.core = std::make_unique<Coordinator>(settings, decide(settings));
    h.ids_of_fronts.assign(fronts.size(), 0), h.fronts.clear();
    for (std::size_t k = 0; k < settings.forwarders.size(); ++k)
      for (std::size_t f = 0; f < fronts.size(); ++f)
        if (fronts[f].name == settings.forwarders[k].name)
          h.ids_of_fronts[f] = static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k),
          h.fronts.push_back(f);
    if (day.shared) {
      cluster::ClusterSettings c;
      c.self = cluster::MemberId{static_cast<std::uint16_t>(h.number - 1)};
      for (std::size_t k = 0; k < day.coordinators.size(); ++k)
        c.members.push_back(cluster::MemberId{static_cast<std::uint16_t>(k)});
      c.shards = std::max<std::size_t>(6, fronts.size() / 12);
      c.term_floor = {static_cast<std::uint64_t>(1000 + (now - begin).micros() / 1000)};
      c.lease.duration = day.lease, c.lease.max_clock_drift = std::max(0.01, s.clock_drift);
      c.lease.renew_before = day.lease * 0.67, c.lease.retry_interval = day.lease * 0.1;
      c.seed = s.seed * 31 + h.number;
      h.cluster = std::make_unique<cluster::Cluster>(c, local(h));
      h.part = std::make_unique<shared_fleet::ClusterAdapter>(*h.cluster);
      after(Span{}, What::cluster_wake, index(h), ++h.cluster_wake);
      after(Span::seconds(0.25 * uniform()), What::tell, index(h), h.life);
    }
    if (s.keep_store && h.kept_at) {
      auto entries = h.kept;
      const Instant confirmed = local(h) - (now - *h.kept_at) * h.rate;
      // As it stands on this life's clock.
      give(h, coordinator::FactsReceived{recovery::select_trusted(entries, confirmed, local(h)).applicable,
                                         true});
    }
    give_roster(h);
    for (std::size_t k = 0; k < kBuckets; ++k)
      after(load_every(h) * (static_cast<double>(k) / kBuckets), What::poll, index(h),
            static_cast<std::uint32_t>(k), h.life);
    after(settings.report_every, What::report, index(h), h.life);
    if (s.keep_store) after(s.written_every, What::write_down, index(h), h.life);
    if (!day.shared)
      for (std::size_t f = 0; f < fronts.size(); ++f)
        if (fronts[f].led_by == h.number) open_stream(h, f, std::nullopt, false);
  }
  [[nodiscard]] std::uint32_t index(const Host& h) const { return static_cast<std::uint32_t>(h.number - 1); }
  [[nodiscard]] Span load_every(const Host& h) const {
    return s.load_every > Span{} ? s.load_every : h.core->settings().report_every;
  }

  void stop(Host& h) {
    h.up = false, h.paused = false, ++h.life;
    for (std::size_t f = 0; f < h.streams.size(); ++f)
      if (h.streams[f].up) lost_leader(f);
    h.core.reset(), h.part.reset(), h.cluster.reset();
    // What it was writing ends anywhere.
    for (auto& [n, batch] : batches)
      if (batch.host == index(h)) batch.cut = true;
  }

  void lost_leader(std::size_t f) {
    for (auto& bare : proxies[f].bare) bare.reset();
  }

  void give(Host& h, Input input) {
    h.inputs.push_back(std::move(input));
    if (h.gathering || !h.up) return;
    h.gathering = true;
    after(s.gather, What::step, index(h), h.life);
  }

  void give_roster(Host& h) {
    std::vector<coordinator::RosterEntry> entries;
    for (const auto& line : roster) {
      coordinator::RosterEntry e;
      e.name = line.name, e.zone = ZoneId{static_cast<std::uint16_t>(zone_of(line.zone))}, e.at = line.at,
      e.weight = line.weight;
      e.availability = line.draining ? Availability::draining : Availability::ready;
      entries.push_back(std::move(e));
    }
    give(h, coordinator::RosterUpdate{std::move(entries)});
  }

  void step(Host& h) {
    h.gathering = false;
    const Instant t = local(h);
    const auto inputs = std::exchange(h.inputs, {});
    const auto effects = h.core->step(t, inputs);
    if (s.on_step) s.on_step(h.number, t, inputs, effects);
    if (effects.published) h.published = effects.published;
    for (const auto& m : effects.messages)
      out.most_waiting_lines = std::max(out.most_waiting_lines, m.waiting);
    for (const auto& d : effects.deliveries) {
      const std::size_t f = front_of(h, d.forwarder);
      h.streams[f].wanted = d.table;
      advance(h, f);
    }
    for (const auto& n : effects.log_events)
      if (!out.samples.empty() && out.samples.back().warnings.size() < 20 &&
          n.severity == coordinator::LogEvent::Severity::warning)
        out.samples.back().warnings.push_back(n.event);
    at(truth(h, effects.next_wakeup), What::wake, index(h), ++h.wake);
  }

  void poll(Host& h, std::uint32_t bucket) {
    for (std::size_t w = bucket; w < workers.size(); w += kBuckets) {
      if (!h.ids[w]) h.ids[w] = h.core->backend_id(workers[w].name());
      if (!h.ids[w]) continue;
      const Span there = between(h.zone, workers[w].kind().zone);
      const bool cut = is_cut(h.zone, workers[w].kind().zone);
      if (!workers[w].up()) {
        give(h, coordinator::LoadPollFailed{*h.ids[w], cut ? "timeout" : "refused"});
      } else if (cut || workers[w].struck() == InjectedFaultKind::silent) {
        give(h, coordinator::LoadPollFailed{*h.ids[w], "timeout"});
      } else {
        // What is slow to tell, tells of the past.
        const Span late = late_load[w];
        give(h, coordinator::LoadReport{*h.ids[w], local(h) - there * 2 - late, workers[w].load(now)});
      }
    }
    health(h, bucket);
  }
  void health(Host& h, std::uint32_t bucket) {
    // Twice in the interval of load replies, as in service.
    for (std::size_t w = bucket % (kBuckets / 2); w < workers.size(); w += kBuckets / 2)
      if (h.ids[w] && !h.asking[w] && !one_health(h, w))
        after(kHealthAgain, What::health_again, index(h), static_cast<std::uint32_t>(w), h.life);
  }
  bool one_health(Host& h, std::size_t w) {
    const bool cut = is_cut(h.zone, workers[w].kind().zone);
    const Span there = between(h.zone, workers[w].kind().zone) * 2;
    const auto wait = cut ? std::nullopt : workers[w].health(now);
    const bool refused = !cut && !workers[w].up();
    const bool well = wait && *wait < kHealthTimeout.seconds();
    if (!well && !refused) {
      // Nothing comes, and the next call waits for that to be known.
      h.asking[w] = true;
      after(kHealthTimeout, What::health_failed, index(h), static_cast<std::uint32_t>(w), h.life);
      return true;
    }
    give(h, coordinator::HealthCheckResult{*h.ids[w],
                                           well      ? coordinator::Health::passed
                                           : refused ? coordinator::Health::refused
                                                     : coordinator::Health::failed,
                                           well ? Span::seconds(*wait) + there : kHealthTimeout});
    return well;
  }
  [[nodiscard]] bool is_cut(std::size_t a, std::size_t b) const { return cut_zones.contains({a, b}); }

  // ---- Leading forwarders --------------------------------------------------------------------------------

  void open_stream(Host& h, std::size_t f, std::optional<std::uint64_t> term, bool taken_over) {
    Stream& st = h.streams[f];
    st = {false, false, taken_over, st.life + 1, term, {}, 0};
    after(between(h.zone, proxies[f].zone) * 4, What::stream, index(h), static_cast<std::uint32_t>(f),
          st.life);
  }
  void close_stream(Host& h, std::size_t f) {
    Stream& st = h.streams[f];
    if (st.up) {
      give(h, coordinator::ForwarderLeft{proxy_id(h, f)});
      lost_leader(f);
    }
    st = {false, false, false, st.life + 1, std::nullopt, {}, 0};
  }
  // A coordinator that shares nothing knows its own forwarders only; their places in its settings are theirs
  // there.
  [[nodiscard]] ProxyId proxy_id(const Host& h, std::size_t f) const { return ProxyId{h.ids_of_fronts[f]}; }

  static std::size_t front_of(const Host& h, ProxyId id) {
    return h.fronts.at(id.value - coordinator::kFirstForwarderId);
  }

  void stream_stands(Host& h, std::size_t f) {
    Stream& st = h.streams[f];
    Proxy& p = proxies[f];
    st.up = true;
    if (h.cluster && p.highest > 0)
      h.cluster->observe_term(local(h), h.part->shard_of(proxy_id(h, f), h.core->settings()), {p.highest});
    if (st.term && s.fencing) p.highest = std::max(p.highest, *st.term);
    out.takeovers += st.taken_over ? 1 : 0;
    std::map<std::string, double> holds;
    for (const auto& [key, line] : p.held.lines)
      if (line.effective_weight() > 0)
        holds[key.second] = std::max(holds[key.second], static_cast<double>(line.effective_weight()));
    give(h, coordinator::ForwarderJoined{proxy_id(h, f), st.taken_over, std::move(holds)});
  }

  void advance(Host& h, std::size_t f) {
    Stream& st = h.streams[f];
    if (!st.up || !st.wanted || st.busy) return;
    if (h.cluster && !h.cluster->held_term(h.part->shard_of(proxy_id(h, f), h.core->settings()), local(h)))
      return;
    // The driver knows what the forwarder holds from its answers; the plan is made once for equal ones.
    if (!(way_wanted == st.wanted && way_from == proxies[f].held))
      way_wanted = st.wanted, way_from = proxies[f].held,
      way = forwarders::plan(proxies[f].held, *st.wanted, true);
    if (way.empty()) {
      if (st.holds != st.wanted->version) {
        st.holds = st.wanted->version;
        give(h, coordinator::ForwarderAppliedTable{proxy_id(h, f), st.holds});
      }
      return;
    }
    st.busy = true;
    const std::uint32_t n = ++batch_number;
    const Span takes = kLineTakes * static_cast<double>(way.size()) + between(h.zone, proxies[f].zone);
    batches[n] = {static_cast<std::uint32_t>(f), index(h), st.life, st.term, way, false};
    after(takes, What::batch, n);
    // Struck while its orders are half sent.
    if (const auto armed = armed_hosts.extract(index(h)); !armed.empty())
      after(takes * uniform(), What::strike_host, index(h), armed.mapped() ? 1 : 0);
  }

  void batch(std::uint32_t n) {
    const auto node = batches.extract(n);
    if (node.empty()) return;
    const Batch& b = node.mapped();
    Proxy& p = proxies[b.proxy];
    if (p.fault == InjectedFaultKind::forwarder_refuse) return;
    if (b.term) {
      if (*b.term < p.highest && s.fencing) {
        ++out.stale_terms_rejected;
        return;
      }
      if (*b.term < obeyed[b.proxy]) ++out.stale_terms_accepted;
      obeyed[b.proxy] = std::max(obeyed[b.proxy], *b.term);
      p.highest = std::max(p.highest, *b.term);
    }
    std::size_t upto = b.changes.size();
    if (b.cut) upto = chance() % (b.changes.size() + 1), ++out.partial_batches;
    for (std::size_t k = 0; k < upto; ++k) forwarders::apply(p.held, b.changes[k]);
    read_table(p);
    if (!b.cut) after(between(hosts[b.host].zone, p.zone), What::batch_done, b.host, b.proxy, b.life);
  }

  void report(Host& h) {
    const std::size_t ops = day.operations.size();
    for (std::size_t f = 0; f < fronts.size(); ++f) {
      if (!h.streams[f].up) continue;
      Proxy& p = proxies[f];
      coordinator::ForwarderReport met{proxy_id(h, f), {}, {}, std::exchange(p.again, 0)};
      for (const auto key : p.touched) {
        auto& m = p.met[key];
        const auto id = h.ids[key / ops];
        if (id && m.tries > 0)
          met.rows.push_back({*id, OperationId{static_cast<std::uint8_t>(key % ops)}, m.tries, m.errored,
                              Span::seconds(m.tries > m.errored ? m.waited / (m.tries - m.errored) : 0)});
        m = {};
      }
      p.touched.clear();
      for (std::size_t k = 0; k < ops; ++k)
        met.arrived.emplace_back(OperationId{static_cast<std::uint8_t>(k)}, std::exchange(p.arrived[k], 0));
      give(h, std::move(met));
    }
  }

  // ---- Between coordinators ------------------------------------------------------------------------------

  void tick_cluster(Host& h) {
    for (auto& m : h.cluster->tick(local(h))) {
      const std::size_t to = m.to.value;
      out.cluster_bytes += 80 + 11 * m.updates.size() +
                           (std::holds_alternative<cluster::ReplicationBatch>(m.body)
                                ? std::get<cluster::ReplicationBatch>(m.body).facts.size()
                                : 0);
      if (cut_hosts.contains({index(h), to}) || (loss > 0 && uniform() < loss)) continue;
      const std::uint32_t n = ++message_number;
      messages[n] = std::move(m);
      const double wait = 0.0005 + 0.002 * uniform() + (slow_hosts.contains({index(h), to}) ? 0.2 : 0);
      after(Span::seconds(wait), What::message, static_cast<std::uint32_t>(to), n);
    }
    follow(h, h.part->poll_leadership(local(h), h.core->settings()));
    const Instant wake = truth(h, h.cluster->wake_at());
    at(std::max(now + Span::seconds(0.005), std::min(wake, now + Span::seconds(0.05))), What::cluster_wake,
       index(h), ++h.cluster_wake);
  }
  void follow(Host& h, shared_fleet::ClusterUpdate turn) {
    for (auto& input : turn.inputs) give(h, std::move(input));
    for (const auto& lead : turn.lead_changes) {
      const std::size_t f = front_of(h, lead.forwarder);
      if (h.streams[f].up || lead.before) close_stream(h, f);
      if (lead.now) open_stream(h, f, lead.now->value, true);
    }
  }

  void fault() {
    const std::size_t k = chance() % hosts.size(), j = chance() % hosts.size();
    const auto part = [&](bool both) {
      for (std::size_t o = 0; o < hosts.size(); ++o) {
        cut_hosts.insert({k, o});
        if (both) cut_hosts.insert({o, k});
      }
    };
    switch (chance() % 9) {
      case 0:
        armed_hosts[k] = false;
        break;
      case 1:
      case 2:
        for (auto& o : hosts)
          if (!o.up) start(o);
        break;
      case 3:
        armed_hosts[k] = true;
        break;
      case 4:
        for (auto& o : hosts) resume(o);
        break;
      case 5:
        part(chance() % 2 == 0);
        break;
      case 6:
        cut_hosts.clear(), slow_hosts.clear(), loss = 0;
        break;
      case 7:
        loss = 0.3 * uniform();
        break;
      default:
        slow_hosts.insert({k, j});
        break;
    }
  }
  void heal() {
    armed_hosts.clear(), cut_hosts.clear(), slow_hosts.clear(), loss = 0;
    for (auto& h : hosts) {
      resume(h);
      if (!h.up) start(h);
    }
  }
  void pause(Host& h) {
    if (!h.up || h.paused) return;
    h.paused = true;
    // What it had given to its kernel may come at any later time.
    for (auto& [n, b] : batches)
      if (b.host == index(h) && chance() % 5 != 0) late_batches.push_back(n);
    for (const auto n : late_batches) held_batches.insert(n);
  }
  void resume(Host& h) {
    if (!h.paused) return;
    h.paused = false;
    for (const auto n : std::exchange(late_batches, {})) {
      held_batches.erase(n);
      after(Span::seconds(0.001), What::batch, n);
    }
    for (const auto& e : std::exchange(h.missed, {})) at(now, e.what, e.a, e.b, e.c);
  }

  // ---- Invocations ---------------------------------------------------------------------------------------

  // What each can do now, drains kept.
  void look_through() {
    oracle.clear();
    double upto = 0;
    for (std::uint32_t w = 0; w < workers.size(); ++w)
      if (const double able = told_draining[w] ? 0 : workers[w].able(now); able > 0)
        oracle.push_back({w, upto += able});
  }

  void next_ask(std::uint32_t p) {
    const double rate = proxies[p].rate * pace;
    if (rate <= 0) return;
    after(Span::seconds(std::exponential_distribution<>{rate}(proxies[p].demand)), What::ask, p, paces);
  }

  void ask(std::uint32_t p) {
    std::uint32_t n = 0;
    if (free.empty()) {
      n = static_cast<std::uint32_t>(invocations.size());
      invocations.emplace_back();
    } else {
      n = free.back();
      free.pop_back();
    }
    Invocation& inv = invocations[n];
    const auto generation = inv.generation + 1, round = inv.round + 1;
    inv = {};
    inv.open = true, inv.generation = generation, inv.round = round, inv.proxy = p, inv.came = now;
    inv.operation = static_cast<std::uint8_t>(pick_operation(proxies[p].demand));
    inv.work = static_cast<float>(0.6 + 0.8 * std::uniform_real_distribution<>{}(proxies[p].demand));
    const double value = day.operations[inv.operation].billed_value;
    for (Tally* t : tallies(inv)) t->offered_value += value, ++t->invocations;
    second_of(inv).first += value;
    if (s.decision_maker == DecisionMakerKind::oracle) look_through();
    enter(n);
  }
  [[nodiscard]] std::array<Tally*, 4> tallies(const Invocation& inv) {
    if (inv.came < begin + s.warm_up) return {&uncounted, &uncounted, &uncounted, &uncounted};
    const auto ten = static_cast<std::size_t>((inv.came - begin).seconds() / 10);
    if (out.by_ten_seconds.size() <= ten) out.by_ten_seconds.resize(ten + 1);
    return {&out.whole, &out.by_operation[inv.operation], &out.by_zone[proxies[inv.proxy].zone],
            &out.by_ten_seconds[ten]};
  }

  std::pair<double, double>& second_of(const Invocation& inv) {
    const auto second = static_cast<std::size_t>((inv.came - begin).seconds());
    if (out.by_second.size() <= second) out.by_second.resize(second + 1);
    return out.by_second[second];
  }

  enum class End { succeeded, late, errored, limited, no_line };
  void done(std::uint32_t n, End end) {
    Invocation& inv = invocations[n];
    if (!inv.open) return;
    const double value = day.operations[inv.operation].billed_value;
    for (Tally* t : tallies(inv)) {
      if (end == End::succeeded) t->value_in_time += value, ++t->succeeded;
      t->late += end == End::late, t->errored += end == End::errored, t->rate_limited += end == End::limited,
          t->no_line += end == End::no_line;
    }
    if (end == End::succeeded) second_of(inv).second += value;
    if (s.list_completions)
      out.completions.push_back(
          {(inv.came - begin).seconds(), (now - inv.came).seconds(), inv.operation,
           static_cast<std::uint8_t>(end), std::max(inv.inner, inv.outer),
           static_cast<std::uint16_t>(inv.proxy),
           inv.ntried > 0 ? static_cast<std::uint16_t>(inv.worker) : std::uint16_t{65535}});
    inv.open = false, ++inv.generation, ++inv.round;
    free.push_back(n);
  }

  // Once for each of the caller's own tries.
  void enter(std::uint32_t n) {
    Invocation& inv = invocations[n];
    Proxy& p = proxies[inv.proxy];
    const auto& op = day.operations[inv.operation];
    if (!p.forwarder) return with_answer(n);
    ++inv.outer, ++inv.round, inv.inner = 0, inv.ntried = 0, inv.forwarded = now;
    ++p.arrived[inv.operation];
    const Span left = op.integration_timeout - (now - inv.came);
    at(now + std::max(Span::seconds(0.001), std::min(left, op.integration_timeout * kGiveUp)),
       What::wait_over, n, inv.round);
    if (!admitted(p, inv.operation)) return done(n, End::limited);
    p.meter.record_first_try(now);
    forward(n);
  }
  bool admitted(Proxy& p, std::size_t op) {
    if (p.level[op] < 1 && uniform() >= p.level[op]) return false;
    if (p.limit[op] < 0) return true;
    auto& [left, since] = p.tokens[op];
    left = std::min(std::max(1.0, p.limit[op] / 2),
                    left + p.limit[op] * (since == Instant{} ? 1.0 : (now - since).seconds()));
    since = now;
    if (left < 1) return false;
    left -= 1;
    return true;
  }
  std::optional<std::uint32_t> draw(const Proxy& p, const Invocation& inv) {
    const auto& picks = s.decision_maker == DecisionMakerKind::oracle ? oracle : p.picks[inv.operation];
    if (picks.empty()) return {};
    const auto fits = [&](std::uint32_t w) {
      for (std::size_t k = 0; k < inv.ntried; ++k)
        if (inv.tried[k] == w) return false;
      return !p.forwarder || now >= p.away[w];
    };
    const auto once = [&]() -> std::uint32_t {
      const double x = uniform() * picks.back().upto;
      return std::upper_bound(picks.begin(), picks.end(), x,
                              [](double v, const Pick& k) { return v < k.upto; })
          ->worker;
    };
    for (int k = 0; k < 12; ++k) {
      const auto w = once();
      if (!fits(w)) continue;
      if (!p.two_choice) return w;
      const auto other = once();
      return fits(other) && p.out[other] < p.out[w] ? other : w;
    }
    // Few are left: by weight among them, as the stand-ins do; the first of them would be sent all of it.
    double before = 0, fitting = 0;
    for (const auto& pick : picks) fitting += fits(pick.worker) ? pick.upto - before : 0, before = pick.upto;
    if (fitting <= 0) return once();
    double x = uniform() * fitting;
    before = 0;
    for (const auto& pick : picks) {
      const double weight = pick.upto - std::exchange(before, pick.upto);
      if (fits(pick.worker) && (x -= weight) < 0) return pick.worker;
    }
    return once();
  }

  void forward(std::uint32_t n) {
    Invocation& inv = invocations[n];
    Proxy& p = proxies[inv.proxy];
    const auto w = draw(p, inv);
    if (!w) {
      bare(p, inv.operation, true);
      return caller_heard(n, Reply::refused);
    }
    bare(p, inv.operation, false);
    const auto& op = day.operations[inv.operation];
    send(n, *w,
         std::max(Span::seconds(0.001), op.integration_timeout * kForwarderTime - (now - inv.forwarded)));
  }
  void send(std::uint32_t n, std::uint32_t w, Span patience) {
    Invocation& inv = invocations[n];
    Proxy& p = proxies[inv.proxy];
    if (p.forwarder) {
      touch(p, w, inv.operation).tries += 1;
      ++p.out[w];
    }
    if (inv.ntried < inv.tried.size()) inv.tried[inv.ntried++] = static_cast<std::uint16_t>(w);
    ++inv.inner, ++inv.generation, inv.worker = w;
    ++out.tries;
    out.retries += inv.inner + inv.outer > 2 || (p.forwarder && inv.inner > 1) ? 1 : 0;
    out.cross_zone_tries += p.zone != workers[w].kind().zone ? 1 : 0;
    at(now + patience, What::try_over, n, inv.generation);
    if (is_cut(p.zone, workers[w].kind().zone)) return;
    after(way_to(p.zone, workers[w].kind().zone), What::arrive, n, inv.generation);
  }
  [[nodiscard]] Span way_to(std::size_t a, std::size_t b) const {
    const auto slow = slow_zones.find({a, b});
    return between(a, b) + (slow == slow_zones.end() ? Span{} : slow->second);
  }
  Proxy::Met& touch(Proxy& p, std::size_t w, std::size_t op) {
    const std::size_t key = w * day.operations.size() + op;
    auto& m = p.met[key];
    if (m.tries == 0 && m.errored == 0) p.touched.push_back(static_cast<std::uint32_t>(key));
    return m;
  }
  void bare(Proxy& p, std::size_t op, bool is) {
    // Of clients the group counts, as for the auditor: one that asks for nothing misses nothing.
    auto& since = p.forwarder ? p.bare[op] : groups_bare[p.zone * day.operations.size() + op];
    if (!is || (p.forwarder && !led(static_cast<std::uint32_t>(&p - proxies.data()))) || !warm_listed()) {
      since.reset();
      return;
    }
    if (!since) since = now;
    out.longest_unserved = std::max(out.longest_unserved, (now - *since).seconds());
  }
  [[nodiscard]] bool warm_listed() {
    for (std::size_t w = 0; w < workers.size(); ++w)
      if (workers[w].up() && !workers[w].cold(now) && !told_draining[w]) return true;
    return false;
  }

  void arrive(std::uint32_t n) {
    Invocation& inv = invocations[n];
    const std::uint32_t w = inv.worker;
    WorkerModel& worker = workers[w];
    Proxy& p = proxies[inv.proxy];
    const Span back = way_to(worker.kind().zone, p.zone);
    if (!worker.up())
      return after(back, What::answer, n, inv.generation, static_cast<std::uint32_t>(Reply::refused));
    ++out.arrivals_by_worker[w];
    if (p.obeys && told_draining[w] && (!p.forwarder || led(inv.proxy)))
      out.longest_send_after_drain = std::max(
          out.longest_send_after_drain,
          (now - std::max(*told_draining[w], p.forwarder ? joined_at[inv.proxy] : Instant{})).seconds());
    WorkerModel::Job job;
    job.invocation = n, job.generation = inv.generation, job.operation = inv.operation, job.came = now;
    job.source = static_cast<std::uint8_t>(p.forwarder ? day.zones.size() : p.zone);
    job.work = day.operations[inv.operation].work.seconds() * inv.work;
    if (worker.kind().connect_cost > 0) {
      auto& used = last_used[inv.proxy * workers.size() + w];
      if (now - used > Span::seconds(15)) job.work += worker.kind().connect_cost;
      used = now;
    }
    began_now.clear();
    const auto taken = worker.offer(
        now, job, chance, [this](const WorkerModel::Job& j) { return there(j); }, began_now);
    began();
    switch (taken) {
      case WorkerModel::Taken::refused:
        return after(back, What::answer, n, inv.generation, static_cast<std::uint32_t>(Reply::refused));
      case WorkerModel::Taken::errored:
        return after(back, What::answer, n, inv.generation, static_cast<std::uint32_t>(Reply::errored));
      case WorkerModel::Taken::swallowed:
        return;
      case WorkerModel::Taken::taken:
        break;
    }
    if (worker.fallen()) {
      ++out.fell;
      return crash(w);
    }
    schedule(w);
  }
  // The rules bind while a controller is in charge of a forwarder: not one that stands still, nor one whose
  // lease is over. Their time runs from when one was again.
  bool led(std::uint32_t f) {
    for (auto& h : hosts)
      if (h.up && !h.paused && h.streams[f].up &&
          (!h.cluster ||
           h.cluster->held_term(h.part->shard_of(proxy_id(h, f), h.core->settings()), local(h)))) {
        if (auto& since = proxies[f].unled_since; since)
          out.leaderless_times.push_back((now - *since).seconds()), since.reset();
        proxies[f].was_led = true;
        return true;
      }
    joined_at[f] = now;
    if (proxies[f].was_led && !proxies[f].unled_since) proxies[f].unled_since = now;
    return false;
  }
  [[nodiscard]] bool there(const WorkerModel::Job& job) const {
    const Invocation& inv = invocations[job.invocation];
    return inv.open && inv.generation == job.generation;
  }
  void began() {
    for (const auto& job : began_now) {
      if (!there(job)) continue;
      Invocation& inv = invocations[job.invocation];
      if (++inv.begun > 1 && day.operations[inv.operation].effect == "side-effecting")
        ++out.duplicate_effects;
    }
  }
  void schedule(std::uint32_t w) {
    if (const auto next = workers[w].next_finish(now)) at(*next, What::finish, w, ++finishes[w]);
  }
  void finish(std::uint32_t w) {
    finished_now.clear(), began_now.clear();
    workers[w].finish(
        now, [this](const WorkerModel::Job& j) { return there(j); }, finished_now, began_now);
    began();
    for (const auto& job : finished_now)
      if (there(job))
        after(way_to(workers[w].kind().zone, proxies[invocations[job.invocation].proxy].zone), What::answer,
              job.invocation, job.generation, static_cast<std::uint32_t>(Reply::well));
    schedule(w);
  }

  // Of one try.
  void answered(std::uint32_t n, Reply reply) {
    Invocation& inv = invocations[n];
    Proxy& p = proxies[inv.proxy];
    const std::uint32_t w = inv.worker;
    ++inv.generation;  // whatever else is heard of this try is too late
    const bool well = reply == Reply::well;
    if (p.forwarder) {
      --p.out[w];
      auto& m = touch(p, w, inv.operation);
      if (well) {
        m.waited += (now - inv.forwarded).seconds();
        p.in_a_row[w] = 0;
      } else {
        ++m.errored;
        if (++p.in_a_row[w] >= kFailures) p.in_a_row[w] = 0, p.away[w] = now + kAway;
      }
    }
    if (well) {
      auto& sample = out.latency[workers[w].name()];
      if (sample.size() < kLatencies) sample.push_back((now - inv.came).seconds());
    }
    if (!p.forwarder || well) return caller_heard(n, reply);
    const auto& op = day.operations[inv.operation];
    const int how = p.further[inv.operation];
    const int most = how == 0 ? 1 : how == 3 ? 3 : 2;
    const bool proof = reply == Reply::refused;
    const bool may = how > 0 && inv.inner < most && (proof || (how >= 2 && op.may_repeat()));
    if (may && (now - inv.forwarded) < op.integration_timeout * kFurther &&
        p.meter.allow_retry(now, p.retries)) {
      ++p.again;
      return forward(n);
    }
    caller_heard(n, reply);
  }
  // What the caller makes of an answer, its forwarder's or a worker's own.
  void caller_heard(std::uint32_t n, Reply reply) {
    Invocation& inv = invocations[n];
    const auto& op = day.operations[inv.operation];
    const Span took = now - inv.came;
    if (reply == Reply::well) return done(n, took <= op.latency_objective ? End::succeeded : End::late);
    const bool may = reply == Reply::refused || op.may_repeat() || day.unsafe.repeat_all;
    const int tries = proxies[inv.proxy].forwarder ? inv.outer : inv.inner;
    if (may && tries < 2 && took < op.integration_timeout * 0.9) return enter(n);
    done(n, End::errored);
  }

  // A client that looks up for itself.
  void with_answer(std::uint32_t n) {
    Invocation& inv = invocations[n];
    Proxy& p = proxies[inv.proxy];
    if (now >= p.until[inv.operation]) {
      p.waiting[inv.operation].push_back(n);
      if (p.waiting[inv.operation].size() > 1) return;
      // Servers in its own order; one that is down costs its patience.
      Span wait = s.latency * 2;
      for (std::size_t k = 0; k < hosts.size(); ++k) {
        const Host& h = hosts[(p.first_server + k) % hosts.size()];
        if (h.up && !h.paused && h.published) break;
        wait = wait + kPatience;
      }
      return after(wait, What::enter, inv.proxy, inv.operation);
    }
    use_answer(n);
  }
  void look_up(std::uint32_t proxy, std::uint32_t op) {
    Proxy& p = proxies[proxy];
    const auto waiting = std::exchange(p.waiting[op], {});
    p.picks[op].clear();
    Span lifetime;
    for (std::size_t k = 0; k < hosts.size(); ++k) {
      Host& h = hosts[(p.first_server + k) % hosts.size()];
      if (!h.up || h.paused || !h.published || p.zone >= h.published->views.size()) continue;
      give(h, coordinator::GroupLookup{ProxyId{static_cast<std::uint16_t>(p.zone)}});
      const auto& view = *h.published->views[p.zone][op];
      if (day.levels && view.level.level < 1 && uniform() >= view.level.level) {
        for (const auto n : waiting) done(n, End::limited);
        return;
      }
      const auto& settings = h.core->settings();
      std::vector<coordinator::Line> open;
      for (const auto& line : view.lines)
        if (const auto it = h.published->directory->find(line.backend);
            it != h.published->directory->end() && it->second.accepts_new_work)
          open.push_back(line);
      double upto = 0;
      const auto add = [&](std::size_t place_of, double weight) {
        const auto w = place.find(h.published->directory->at(open[place_of].backend).name);
        if (w != place.end()) p.picks[op].push_back({w->second, upto += weight});
      };
      if (p.by_address) {
        for (const auto k2 : coordinator::sample_uniform(
                 open, static_cast<std::size_t>(settings.addresses_most), p.phases[op].next()))
          add(k2, 1);
      } else {
        const auto drawn = coordinator::sample_tiered(open, static_cast<std::size_t>(settings.lines_most),
                                                      p.phases[op].next());
        int first = INT_MAX;
        for (const auto& d : drawn) first = std::min(first, open[d.index].tier);
        // With two tries a client gets no further than its first tier, but for one that has no line of it.
        for (const auto& d : drawn)
          if (open[d.index].tier == first) add(d.index, d.weight);
      }
      lifetime = h.published->lifetime;
      break;
    }
    bare(p, op, p.picks[op].empty());
    p.until[op] = now + lifetime * (p.obeys ? 1 : kTooLong);
    for (const auto n : waiting)
      if (invocations[n].open) use_answer(n);
  }
  void use_answer(std::uint32_t n) {
    Invocation& inv = invocations[n];
    const auto w = draw(proxies[inv.proxy], inv);
    if (!w) return done(n, End::no_line);
    const auto& op = day.operations[inv.operation];
    const Span left = op.integration_timeout - (now - inv.came);
    send(n, *w, std::max(Span::seconds(0.001), std::min(left, op.integration_timeout * kGiveUp)));
  }

  // ---- What goes wrong -----------------------------------------------------------------------------------

  void crash(std::uint32_t w) {
    for (const auto& job : workers[w].crash(now))
      if (there(job))
        after(s.latency, What::answer, job.invocation, job.generation,
              static_cast<std::uint32_t>(Reply::broken));
    ++finishes[w];
    out.worst_cold_overload = std::max(out.worst_cold_overload, workers[w].worst_brought());
  }
  void tell_roster() {
    if (stale) return;
    for (auto& h : hosts) after(kRosterLate * uniform(), What::roster, index(h), h.life);
  }

  void strike(std::uint32_t k) {
    const InjectedFault& t = day.troubles[k];
    struck[k].clear();
    using enum InjectedFaultKind;
    switch (t.kind) {
      case stale_list:
        stale = true;
        break;
      case cut_link:
      case slow_link:
        for (std::size_t z = 0; z < day.zones.size(); ++z)
          if (z != zone_of(t.zone) && (t.to.empty() || zone_of(t.to) == z))
            for (const auto& pair : {std::pair{zone_of(t.zone), z}, std::pair{z, zone_of(t.zone)}}) {
              if (t.one_way && pair.first != zone_of(t.zone)) continue;
              if (t.kind == cut_link) {
                cut_zones.insert(pair);
              } else {
                slow_zones[pair] = Span::seconds(t.size);
              }
            }
        break;
      default:
        break;
    }
    if (t.kind >= forwarder_restart && t.kind <= streams) {
      std::vector<std::size_t> in_zone;
      for (std::size_t f = 0; f < fronts.size(); ++f)
        if (t.zone.empty() || fronts[f].zone == t.zone) in_zone.push_back(f);
      const std::size_t n =
          t.count > 0 ? static_cast<std::size_t>(t.count)
                      : static_cast<std::size_t>(t.part * static_cast<double>(in_zone.size()) + 0.5);
      for (std::size_t i = 0; i < std::min(n, in_zone.size()); ++i) {
        const std::size_t f = in_zone[i];
        if (t.kind == forwarder_restart) configure(proxies[f]), obeyed.erase(static_cast<std::uint32_t>(f));
        if (t.kind == forwarder_restart || t.kind == streams) {
          for (auto& h : hosts)
            if (h.up && h.streams[f].up) {
              const auto term = h.streams[f].term;
              close_stream(h, f);
              open_stream(h, f, term, false);
            }
        } else {
          proxies[f].fault = t.kind, struck[k].push_back(static_cast<std::uint32_t>(f));
        }
      }
    } else if (t.kind < forwarder_restart || t.kind == late_reports || t.kind == ageing ||
               t.kind == false_reports) {
      std::vector<std::uint32_t> in_zone;
      for (std::uint32_t w = 0; w < workers.size(); ++w)
        if ((t.zone.empty() || day.zones[workers[w].kind().zone] == t.zone) && workers[w].well())
          in_zone.push_back(w);
      std::size_t all = 0;
      for (const auto& w : workers) all += t.zone.empty() || day.zones[w.kind().zone] == t.zone ? 1 : 0;
      const std::size_t n = t.count > 0 ? static_cast<std::size_t>(t.count)
                                        : static_cast<std::size_t>(t.part * static_cast<double>(all) + 0.5);
      for (const auto w : in_zone) {
        if (struck[k].size() >= (t.kind == errors && t.count == 0 ? all : n)) break;
        struck[k].push_back(w);
      }
      for (const auto w : struck[k]) {
        if (t.kind == InjectedFaultKind::crash) {
          this->crash(w);
        } else if (t.kind == late_reports) {
          late_load[w] = Span::seconds(t.size);
        } else if (t.kind == false_reports) {
          workers[w].lie(t.size);
        } else if (t.kind == ageing) {
          workers[w].age(1 / std::max(1e-3, t.size));
        } else {
          if (t.kind != drain || !day.unsafe.drain_untold)
            workers[w].trouble(now, t.kind, t.kind == errors ? t.part : t.size);
          if (t.kind == drain) draining(w, true);
          ++finishes[w];
          schedule(w);
        }
      }
      if (t.kind == drain) tell_roster();
    }
    after(t.lasts, What::trouble_over, k);
  }
  void draining(std::uint32_t w, bool on) {
    roster[w].draining = on && !day.unsafe.drain_untold;
    told_draining[w] = on ? std::optional{now} : std::nullopt;
  }
  void over(std::uint32_t k) {
    const InjectedFault& t = day.troubles[k];
    using enum InjectedFaultKind;
    if (t.kind == stale_list) stale = false, tell_roster();
    if (t.kind == cut_link) cut_zones.clear();
    if (t.kind == slow_link) slow_zones.clear();
    for (const auto w : struck[k]) {
      if (t.kind >= forwarder_restart && t.kind <= streams) {
        proxies[w].fault.reset();
      } else if (t.kind == InjectedFaultKind::crash) {
        workers[w].start(now, true);
      } else if (t.kind == late_reports) {
        late_load[w] = {};
      } else if (t.kind == false_reports) {
        workers[w].lie(1);
      } else if (t.kind == ageing) {
        workers[w].age(std::max(1e-3, t.size));
      } else {
        if (t.kind == drain) draining(w, false);
        for (const auto& job : workers[w].recover(now))
          if (there(job))
            after(s.latency, What::answer, job.invocation, job.generation,
                  static_cast<std::uint32_t>(Reply::broken));
        ++finishes[w];
        schedule(w);
      }
    }
    if (t.kind == drain) tell_roster();
  }

  // ---- The day -------------------------------------------------------------------------------------------

  void watch() {
    if (day.shared) {
      std::map<std::size_t, int> leaders;
      for (auto& h : hosts) {
        if (!h.up || fronts.empty()) continue;
        for (std::size_t k = 0; k < h.cluster->shards(); ++k)
          leaders[k] +=
              h.cluster->held_term(cluster::ShardId{static_cast<std::uint16_t>(k)}, local(h)) ? 1 : 0;
      }
      for (const auto& [shard, n] : leaders) out.double_leaders += n > 1 ? 1 : 0;
    }
    for (std::size_t f = 0; f < fronts.size(); ++f) static_cast<void>(led(static_cast<std::uint32_t>(f)));
    for (std::size_t f = 0; f < fronts.size(); ++f)
      for (std::size_t k = 0; k < day.operations.size(); ++k)
        bare(proxies[f], k, proxies[f].picks[k].empty());
    if (now < begin + day.length) after(Span::seconds(0.02), What::watch);
  }
  void second() {
    Outcome::SecondSample m;
    m.at = (now - begin).seconds();
    m.weight_by_zone.assign(day.zones.size(), 0), m.tries_by_zone.assign(day.zones.size(), 0);
    for (const auto& h : hosts)
      if (h.up) {
        for (const auto& b : h.core->backends()) m.weight_by_zone[zone_of(b.zone)] += b.weight;
        break;
      }
    last_taken.resize(workers.size());
    for (std::size_t w = 0; w < workers.size(); ++w) {
      m.tries_by_zone[workers[w].kind().zone] +=
          static_cast<double>(out.arrivals_by_worker[w] - last_taken[w]);
      last_taken[w] = out.arrivals_by_worker[w];
      out.worst_cold_overload = std::max(out.worst_cold_overload, workers[w].worst_brought());
    }
    out.samples.push_back(std::move(m));
    follow_load();
    after(Span::seconds(1), What::second);
  }
  // What of all work forwarders' tables moved from zone to zone since the last second.
  void follow_load() {
    if (now < begin) return;
    const std::size_t zones = day.zones.size();
    std::vector<double> parts(fronts.size() * zones, 0);
    double all = 0, moved = 0;
    for (std::size_t f = 0; f < fronts.size(); ++f) {
      const auto& picks = proxies[f].picks.front();
      double before = 0;
      for (const auto& pick : picks) {
        parts[f * zones + workers[pick.worker].kind().zone] += (pick.upto - before) / picks.back().upto;
        before = pick.upto;
      }
      all += proxies[f].rate;
      double differ = 0;
      if (!zone_parts.empty())
        for (std::size_t z = 0; z < zones; ++z)
          differ += std::abs(parts[f * zones + z] - zone_parts[f * zones + z]) / 2;
      moved += differ * proxies[f].rate;
    }
    if (all > 0) out.moved_load += moved / all;
    zone_parts = std::move(parts);
  }
  void churn() {
    if (now > begin + day.length - day.settle) return;
    for (std::size_t k = 0; k < roster.size(); ++k)
      roster[k].weight = usual[k].weight * (0.6 + 0.4 * uniform());
    tell_roster();
    after(day.churn, What::churn);
  }

  Host* host_of(const Event& e) {
    switch (e.what) {
      case What::poll:
      case What::health_again:
      case What::health_failed:
      case What::step:
      case What::wake:
      case What::report:
      case What::stream:
      case What::batch_done:
      case What::message:
      case What::cluster_wake:
      case What::tell:
      case What::roster:
      case What::write_down:
        return &hosts[e.a];
      default:
        return nullptr;
    }
  }

  void take(const Event& e) {
    Host* h = host_of(e);
    if (h != nullptr && (!h->up || h->paused)) {
      if (e.what == What::message && !h->up) messages.erase(e.b);
      if (h->up) h->missed.push_back(e);
      return;
    }
    switch (e.what) {
      case What::ask:
        if (e.b != paces || now > begin + day.length - day.settle) return;
        if (now >= begin) ask(e.a);
        return next_ask(e.a);
      case What::enter:
        return look_up(e.a, e.b);
      case What::arrive:
        if (invocations[e.a].open && invocations[e.a].generation == e.b) arrive(e.a);
        return;
      case What::answer:
        if (invocations[e.a].open && invocations[e.a].generation == e.b)
          answered(e.a, static_cast<Reply>(e.c));
        return;
      case What::try_over:
        if (invocations[e.a].open && invocations[e.a].generation == e.b) answered(e.a, Reply::broken);
        return;
      case What::wait_over:
        if (invocations[e.a].open && invocations[e.a].round == e.b) {
          // The caller gives up on its forwarder, which is left with the try.
          Invocation& inv = invocations[e.a];
          if (proxies[inv.proxy].forwarder) {
            --proxies[inv.proxy].out[inv.worker];
            ++touch(proxies[inv.proxy], inv.worker, inv.operation).errored;
          }
          ++inv.generation;
          caller_heard(e.a, Reply::broken);
        }
        return;
      case What::finish:
        if (finishes[e.a] == e.b && workers[e.a].up()) finish(e.a);
        return;
      case What::poll:
        if (h->life != e.c) return;
        poll(*h, e.b);
        return after(load_every(*h), What::poll, e.a, e.b, e.c);
      case What::health_failed:
        if (h->life != e.c) return;
        h->asking[e.b] = false;
        if (h->ids[e.b])
          give(*h, coordinator::HealthCheckResult{*h->ids[e.b], coordinator::Health::failed, kHealthTimeout});
        return after(kHealthAgain, What::health_again, e.a, e.b, e.c);
      case What::health_again:
        if (h->life == e.c && h->ids[e.b] && !h->asking[e.b]) static_cast<void>(one_health(*h, e.b));
        return;
      case What::step:
        if (h->life == e.b && h->gathering) step(*h);
        return;
      case What::wake:
        if (h->wake == e.b) step(*h);
        return;
      case What::report:
        if (h->life != e.b) return;
        report(*h);
        return after(h->core->settings().report_every, What::report, e.a, e.b);
      case What::stream:
        if (h->streams[e.b].life == e.c) stream_stands(*h, e.b), joined_at[e.b] = now;
        return;
      case What::batch:
        if (!held_batches.contains(e.a)) batch(e.a);
        return;
      case What::batch_done:
        if (h->streams[e.b].life != e.c) return;
        h->streams[e.b].busy = false;
        return advance(*h, e.b);
      case What::message:
        if (const auto m = messages.extract(e.b); !m.empty()) {
          h->cluster->receive(local(*h), m.mapped());
          tick_cluster(*h);
        }
        return;
      case What::cluster_wake:
        if (h->cluster_wake == e.b) tick_cluster(*h);
        return;
      case What::tell: {
        if (h->life != e.b) return;
        bool changed = false;
        follow(*h, h->part->exchange_facts(local(*h), *h->core, changed));
        if (changed) tick_cluster(*h);
        return after(kTellCluster, What::tell, e.a, e.b);
      }
      case What::strike_host:
        if (e.b == 1) return pause(hosts[e.a]);
        if (hosts[e.a].up) stop(hosts[e.a]);
        return;
      case What::trouble:
        return strike(e.a);
      case What::trouble_over:
        return over(e.a);
      case What::kill: {
        const auto& kill = day.kills[e.a];
        Host& victim = hosts[std::strtoul(kill.coordinator.c_str() + 6, nullptr, 10) - 1];
        if (kill.pause) {
          pause(victim);
        } else if (victim.up) {
          if (kill.planned && victim.cluster) {
            static_cast<void>(victim.cluster->hand_over_all(local(victim)));
            tick_cluster(victim);  // what it says of that is on its way before it goes
          }
          stop(victim);
        }
        return after(kill.lasts, What::kill_over, e.a);
      }
      case What::kill_over: {
        const auto& kill = day.kills[e.a];
        Host& victim = hosts[std::strtoul(kill.coordinator.c_str() + 6, nullptr, 10) - 1];
        if (kill.pause) {
          resume(victim);
        } else if (!victim.up) {
          start(victim);
        }
        return;
      }
      case What::phase:
        pace = day.phases[e.a].rate, ++paces;
        for (std::uint32_t p = 0; p < proxies.size(); ++p) next_ask(p);
        return;
      case What::roster:
        if (h->life == e.b) give_roster(*h);
        return;
      case What::second:
        return second();
      case What::churn:
        return churn();
      case What::fault:
        return fault();
      case What::watch:
        return watch();
      case What::person:
        for (auto& one : hosts)
          if (one.up) give(one, day.operator_commands[e.a].command);
        return;
      case What::write_down: {
        if (h->life != e.b) return;
        h->kept.clear();
        for (const auto& [subject, fact] : h->core->facts())
          h->kept.push_back({subject, fact, local(*h), h->kept.size() + 1, false});
        h->kept_at = now;
        return after(s.written_every, What::write_down, e.a, e.b);
      }
    }
  }

  Outcome run() {
    build();
    const Instant end = begin + day.length;
    bool healed = s.random_faults == 0;
    while (!events.empty()) {
      const Event e = events.top();
      if (Instant{} + Span::micros(e.at) > end) break;
      events.pop();
      now = Instant{} + Span::micros(e.at);
      if (!healed && now > end - Span::seconds(6)) healed = true, heal();
      take(e);
    }
    now = end;
    for (const auto& w : workers)
      out.worst_cold_overload = std::max(out.worst_cold_overload, w.worst_brought());
    return std::move(out);
  }

  const Day day;
  SimulationSettings s;
  std::mt19937 chance;
  const Instant begin = Instant::at_seconds(1000);
  Instant now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  std::vector<Prefix> sources;
  std::vector<script::ForwarderInstance> fronts;
  std::vector<script::RosterLine> roster, usual;
  std::vector<WorkerModel> workers;
  std::map<std::string, std::uint32_t> place;
  std::vector<std::uint32_t> finishes;
  std::vector<std::optional<Instant>> told_draining;
  std::vector<Span> late_load;
  std::vector<double> shares;
  std::discrete_distribution<int> pick_operation;
  std::vector<Proxy> proxies;  // forwarders first
  std::vector<Pick> oracle;
  std::vector<double> zone_parts;                   // of forwarders' work, by zone, a second ago
  std::vector<std::optional<Instant>> groups_bare;  // by zone and operation
  std::deque<Host> hosts;
  std::vector<Invocation> invocations;
  std::vector<std::uint32_t> free;
  std::vector<WorkerModel::Job> began_now, finished_now;
  std::vector<Instant> last_used;
  std::map<std::uint32_t, Batch> batches;
  std::set<std::uint32_t> held_batches;
  std::vector<std::uint32_t> late_batches;
  std::uint32_t batch_number = 0, message_number = 0, paces = 0;
  std::map<std::uint32_t, cluster::Message> messages;
  std::map<std::uint32_t, std::uint64_t> obeyed;  // the highest term, by forwarder
  std::map<std::uint32_t, Instant> joined_at;
  std::shared_ptr<const coordinator::DesiredTable> way_wanted;
  forwarders::ActualTable way_from;
  std::vector<forwarders::Change> way;
  std::set<std::pair<std::size_t, std::size_t>> cut_zones, cut_hosts, slow_hosts;
  std::map<std::pair<std::size_t, std::size_t>, Span> slow_zones;
  std::map<std::size_t, bool> armed_hosts;  // to be killed, or paused, while they send
  double loss = 0, pace = 1;
  bool stale = false;
  std::map<std::uint32_t, std::vector<std::uint32_t>> struck;  // by trouble
  std::vector<std::uint64_t> last_taken;
  Tally uncounted;
  Outcome out;
};

Simulation::Simulation(const Day& day, SimulationSettings settings)
    : state_{std::make_unique<State>(day, std::move(settings))} {}
Simulation::~Simulation() = default;
Outcome Simulation::run() { return state_->run(); }

}  // namespace gorsemount::lab

// Implementation of the decision module declared in policy.hpp. A host creates one Policy per coordinator,
// passes all events of one time to handle(), and carries out the returned orders in sequence. Each call
// applies the events, processes the reports, updates the health of backends, zones and links, computes the
// wanted tables and admission limits, and orders the difference from what was sent.
//
// All proxies share one table in which weight = listed weight x traffic share. A share controller steps the
// share of a zone, a single backend or the link between two zones down on a sustained failure signal, and
// back up in trial steps.
#include "policy/policy.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <utility>

#include "policy/admission_control.hpp"
#include "policy/evidence.hpp"
#include "policy/share_controller.hpp"
#include "policy/subset_weights.hpp"
#include "policy/table_ids.hpp"
#include "policy/update_channel.hpp"
#include "policy/withdrawals.hpp"
#include "policy/zone_fallback.hpp"

namespace gorsemount {

namespace {

// Shorter than all timers below, far above the host's clock resolution.
const Span kTickInterval = Span::seconds(0.25);
constexpr double kMaxRemovalCost = 2;  // times the cost of the tables that a proxy waits for

OperationId operation_id(std::size_t position) { return OperationId{static_cast<std::uint8_t>(position)}; }

struct Backend : Target {
  BackendListUpdate::Entry entry;
  std::size_t subset = 0;   // the subset whose table holds the backend
  double table_weight = 0;  // weight as last sent
  Instant weight_changed;   // last change of table_weight
  bool unlisted = false;    // missing from the list, where removal is not binding
};

struct Proxy {
  ZoneId zone;
  double rate = 0;  // usual invocations a second
  Instant joined;
  std::optional<std::size_t> subset;
  std::optional<TableId> bound;             // for the operations that any zone may serve
  std::optional<TableId> zone_bound_table;  // for those that only the proxy's zone may serve
  std::uint64_t last_removal = 0;           // the last withdrawal that was removed from the table it brought
  double removal_cost = 0;                  // of all messages with such removals, in lines
  [[nodiscard]] bool is_bound() const { return bound.has_value(); }
};

// A proxy and the tables that it is to use, where it isn't bound to them yet.
struct PendingBinding {
  ProxyId id;
  Proxy* proxy = nullptr;
  std::optional<TableId> table, zone_bound_table;
  double cost = 0;  // of the message with the tables, in lines
};

struct Table {
  std::map<BackendId, double> weights;
  std::vector<Admission> admissions;
  std::deque<Instant> message_times;  // sent within messages_window
  Instant last_sent;                  // time of the last message
  double proxy_count = 0;
};

}  // namespace

struct Policy::State {
  State(Settings initial, std::uint64_t seed)
      : settings{std::move(initial)},
        rng{static_cast<std::uint32_t>(seed)},
        admission_control{settings},
        channel{settings} {
    report_interval = settings.report_every.seconds();
    for (std::size_t k = 0; k < settings.operations.size(); ++k) {
      const Operation& operation = settings.operations[k];
      mean_objective +=
          operation.latency_objective.seconds() / static_cast<double>(settings.operations.size());
      (operation.zone_bound ? zone_bound_operations : other_operations).push_back(operation_id(k));
    }
  }

  void on_event(const TimerFired&) {}
  void on_event(const BackendReport& e) { ++reports_received, pending_reports.push_back(e); }

  [[nodiscard]] bool ready(const Backend& b) const { return b.entry.availability == Availability::ready; }

  Settings settings;
  std::vector<OperationId> zone_bound_operations, other_operations;
  std::mt19937 rng;
  Instant now;
  std::vector<Order> out;

  std::map<BackendId, Backend> backends;
  std::map<BackendId, ShareController> restored;  // for backends that are not listed yet
  std::map<ZoneId, ShareController> zones;
  std::map<std::pair<ZoneId, ZoneId>, Target> links;  // keyed by proxy zone, backend zone
  std::vector<BackendReport> pending_reports;         // not processed yet
  std::size_t reports_received = 0;                   // backend and demand reports since the last round
  double mean_objective = 0;                          // mean latency objective, s

  // Updated after each round of reports.
  Instant last_round, fresh_since;       // time of the round; older samples are stale
  double report_interval = 0;            // time between two reports on a backend, s
  double total_error_rate = 0;           // error rate over all backends with traffic
  double common_error_rate = 0;          // error rate that the backends have in common
  double median_latency = 0;             // over the backends, penalized, s
  double mean_utilization = 0;           // of the backends' processors; 0 if not reported
  TryStats round_stats;                  // since the last update of the admission limits
  double try_rate = 0, goodput = 0;      // tries and succeeded tries a second
  std::vector<double> tries_per_weight;  // per subset: tries a second for each unit of table weight

  AdmissionControl admission_control;
  std::optional<Instant> admissions_updated_at;

  std::map<TableId, Table> wanted_tables, sent_tables;
  std::map<TableId, Table> retired_tables;  // wanted no more, with proxies that are still bound to them
  std::map<ProxyId, Proxy> proxies;
  std::size_t subset_count = 0;  // 0: not partitioned yet
  bool subscribed = false;
  std::optional<Instant> first_join, next_subscribe, next_wake;
  UpdateChannel channel;
  Withdrawals withdrawals;

  // ---- Events ----------------------------------------------------------------------------------------

  void on_event(const BackendListUpdate& e) {
    if (e.scope == ListScope::failed) {
      subscribed = false;
      // Random delay: instances that failed together must not all subscribe at the same time.
      next_subscribe = now + Span::seconds(std::uniform_real_distribution<>{0.2, 1.0}(rng));
      return;
    }
    if (e.scope != ListScope::cached) subscribed = true;
    note_withdrawals(e);
    std::set<BackendId> removed;
    if (e.scope != ListScope::delta)
      for (const auto& [id, b] : backends) removed.insert(id);
    std::optional<SubsetWeights> subset_weights;  // collected for the first new backend, then kept up to date
    for (const auto& entry : e.entries) {
      if (entry.availability == Availability::gone) {
        removed.insert(entry.backend);
        continue;
      }
      removed.erase(entry.backend);
      const bool unknown = !backends.contains(entry.backend);
      if (unknown && subset_count > 1 && !subset_weights) subset_weights = collect_subset_weights();
      Backend& b = backends[entry.backend];
      if (subset_weights && !unknown && ready(b))
        subset_weights->remove(b.entry.zone, b.subset, b.entry.weight);
      if (subset_weights && unknown) b.subset = subset_weights->lightest(entry.zone);
      if (auto state = restored.extract(entry.backend); unknown && state) b.control = state.mapped();
      // Samples of the previous process say nothing about the restarted one.
      if (!unknown && entry.started && b.entry.started != entry.started) b.control = {}, b.samples.clear();
      b.entry = entry, b.unlisted = false;
      if (entry.weight <= 0) b.entry.weight = 1;
      if (subset_weights && ready(b)) subset_weights->add(b.entry.zone, b.subset, b.entry.weight);
    }
    // Where removal is not binding, answers from a backend outweigh the list: the backend stays until
    // it fails.
    for (const auto id : removed) {
      const auto row = backends.find(id);
      if (row == backends.end()) continue;
      Backend& b = row->second;
      b.unlisted = true;
      if (settings.removal_binds || !ready(b) || b.control.share <= 0 || slow_start_factor(b) < 1)
        backends.erase(row);
    }
  }

  // Keeps which backends the proxies must stop using, for the tables that joining proxies bring along. Where
  // removal from the list is not binding, only a backend that drains is withdrawn.
  void note_withdrawals(const BackendListUpdate& e) {
    std::set<BackendId> listed;
    for (const auto& entry : e.entries) {
      listed.insert(entry.backend);
      if (entry.availability == Availability::draining) {
        withdrawals.withdraw(entry.backend);
      } else if (entry.availability == Availability::ready) {
        withdrawals.restore(entry.backend);
      } else {
        note_gone(entry.backend);
      }
    }
    if (e.scope == ListScope::delta) return;
    for (const auto& [id, b] : backends)
      if (!listed.contains(id)) note_gone(id);
  }

  void note_gone(BackendId id) {
    const auto b = backends.find(id);
    if (b == backends.end()) return;
    if (settings.removal_binds || !ready(b->second)) withdrawals.withdraw_gone(now, id);
  }

  // A new backend goes to the subset with the least weight in its zone. If a fleet is replaced backend by
  // backend its size stays the same; assigning by size would put all new backends into one subset and drain
  // the others.
  SubsetWeights collect_subset_weights() const {
    SubsetWeights weights{subset_count};
    for (const auto& [id, b] : backends)
      if (ready(b)) weights.add(b.entry.zone, b.subset, b.entry.weight);
    return weights;
  }

  void on_event(const ProxyJoined& e) {
    Proxy& proxy = proxies[e.proxy] = {};
    proxy.zone = e.zone;
    proxy.rate = e.usual_rate;
    proxy.joined = now;
    if (!first_join) first_join = now;
  }

  void on_event(const ProxyLeft& e) {
    proxies.erase(e.proxy);
    admission_control.forget(e.proxy);
  }

  void on_event(const DemandReport& e) {
    if (e.interval <= Span{} || e.operation.value >= settings.operations.size() || !proxies.contains(e.proxy))
      return;
    ++reports_received;
    admission_control.record_demand(e);
  }

  void record_sample(Target& target, const BackendReport& r, double interval) {
    if (target.samples.empty() || now - target.samples.back().received > settings.report_every * 0.5)
      target.samples.emplace_back();
    if (target.samples.size() > kMaxSamples) target.samples.pop_front();
    Sample& sample = target.samples.back();
    sample.received = now, sample.interval = interval;
    const double tries = r.tries, errored = r.errored;
    sample.stats += TryStats{tries, errored, (tries - errored) * r.mean_latency.seconds()};
    if (r.utilization) sample.utilization = r.utilization;
    if (tries > errored) target.last_success = now;
  }

  // Turns reports into samples. If the host passes on fewer reports than there are, one round's reports
  // arrive over several rounds, and each counts over its own interval.
  void process_reports() {
    if (pending_reports.empty()) return;
    // Delayed reports cover the delay as well. Otherwise a longer interval means an idle period before
    // the last round.
    const bool waiting = static_cast<double>(reports_received) >
                         0.9 * settings.max_report_rate * settings.report_every.seconds();
    std::vector<double> intervals;
    std::erase_if(pending_reports, [this](const auto& r) { return !backends.contains(r.backend); });
    for (const auto& r : pending_reports)
      intervals.push_back(r.interval.seconds()), round_stats.tries += r.tries,
          round_stats.errored += r.errored;
    const double interval =
        std::max(quantile(std::move(intervals), waiting ? 0.5 : 0.1), 0.5 * settings.report_every.seconds());
    for (const auto& r : pending_reports)
      if (const Backend& b = backends[r.backend]; b.control.share > 0)
        record_sample(links[{r.proxy_zone, b.entry.zone}], r, interval);
    report_interval = std::max(settings.report_every.seconds(), interval);
    update_links();
    for (const auto& r : pending_reports) {
      Backend& b = backends[r.backend];
      // Losses on a failing link say nothing about the backend behind it.
      if (links[{r.proxy_zone, b.entry.zone}].control.at_full_share()) record_sample(b, r, interval);
    }
    pending_reports.clear(), reports_received = 0;
    summarize();
    const double since = admissions_updated_at ? (now - *admissions_updated_at).seconds() : interval;
    if (admissions_updated_at && since < settings.report_every.seconds() * 0.9) return;
    try_rate = round_stats.tries / since, goodput = (round_stats.tries - round_stats.errored) / since,
    round_stats = {};
    admission_control.update_arrival_ratios(since);
    admissions_updated_at = now;
    admission_control.update(fleet_state());
  }

  [[nodiscard]] AdmissionControl::FleetState fleet_state() const {
    double weight_in_use = 0;
    for (const auto& [id, b] : backends)
      weight_in_use += b.control.share > 0 ? b.entry.weight * slow_start_factor(b) : 0;
    double proxy_rate = 1e-3;  // above 0, as it is a divisor
    for (const auto& [id, p] : proxies) proxy_rate += p.rate;
    return {goodput,           weight_in_use,  proxy_rate,    mean_utilization,
            common_error_rate, median_latency, mean_objective};
  }

  void summarize() {
    last_round = now, fresh_since = now - Span::seconds(report_interval) - settings.report_every * 2.5;
    std::vector<double> latencies;
    std::vector<TryStats> all;
    double busy = 0, reporting = 0;
    std::vector<double> weights(std::max<std::size_t>(subset_count, 1), 1e-9);
    tries_per_weight.assign(weights.size(), 0);
    for (const auto& [id, b] : backends) {
      weights[b.subset] += b.table_weight;
      if (b.samples.empty() || b.samples.back().begin_time() <= fresh_since) continue;
      const Sample& last = b.samples.back();
      if (now - last.received < Span::seconds(0.95 * report_interval))
        tries_per_weight[b.subset] += last.stats.tries / last.interval;
      if (const double own = penalized_latency(b.stats(4, fresh_since - settings.report_every * 2)); own > 0)
        latencies.push_back(own);
      if (b.control.share <= 0) continue;
      if (last.utilization) busy += *last.utilization, ++reporting;
      all.push_back(b.stats(2, fresh_since));
    }
    for (std::size_t k = 0; k < tries_per_weight.size(); ++k) tries_per_weight[k] /= weights[k];
    median_latency = quantile(std::move(latencies), 0.5);
    mean_utilization = reporting > 0 ? busy / reporting : 0;
    // The error rate that the backends have in common leaves out the quarter with the highest error
    // rates, whose errors are their own. It distinguishes an overload from broken backends.
    std::sort(all.begin(), all.end(),
              [](const TryStats& a, const TryStats& b) { return a.error_rate() < b.error_rate(); });
    total_error_rate = std::accumulate(all.begin(), all.end(), TryStats{}, std::plus<>{}).error_rate();
    all.resize(all.size() * 3 / 4);
    common_error_rate = std::accumulate(all.begin(), all.end(), TryStats{}, std::plus<>{}).error_rate();
  }

  // ---- Health ----------------------------------------------------------------------------------------

  // Fraction of its full weight that a starting backend may have: its guaranteed capacity squared, so
  // that a short burst or a slow machine does not overload it. When a fleet collapses, proxies leave the
  // backends that fail them and load the others whatever their weight; in an overloaded fleet a new
  // backend therefore gets no traffic until it could bear even the share of a full weight of all tries.
  double slow_start_factor(const Backend& b) const {
    if (!b.entry.started || now - *b.entry.started >= settings.cold_for) return 1;
    const double age = (now - *b.entry.started).seconds() / settings.cold_for.seconds();
    const double guaranteed =
        std::clamp(settings.cold_from + (1 - settings.cold_from) * age, settings.cold_from, 1.0);
    const bool overloaded =
        common_error_rate > 0.2 || median_latency > 0.5 * mean_objective || mean_utilization > 0.75;
    // A fleet can collapse within the 3 s that reports take, so a backend must always bear 2.4 times
    // its share. Nothing is known before the first round.
    if (!admissions_updated_at || settings.tip_multiple * guaranteed <
                                      std::max(2.4, overloaded ? 1.2 * try_rate / std::max(1.0, goodput) : 0))
      return 0;
    return guaranteed * guaranteed * (1 - common_error_rate);
  }

  // Mean time to an answer, with an error counted as two objectives; 0 if there are too few tries.
  double penalized_latency(const TryStats& t) const {
    return t.tries >= 6 ? (t.latency_sum + t.errored * 2 * mean_objective) / t.tries : 0;
  }

  // A backend has failed if its error rate is far above its peers' or its answers are missing. It is
  // slow if its answers take too long for the latency objective while its peers' do not.
  Health assess(const Backend& b) const {
    // Ignores samples from before the last step could take effect.
    const Instant since = b.control.at_full_share() ? Instant{} : b.control.changed_at + Span::seconds(1);
    const TryStats own = b.stats(2, since);
    const double latency =
        penalized_latency(b.stats(4, std::max(since, fresh_since - settings.report_every * 2)));
    // A lightly loaded fleet tolerates more, so that its weights stay as listed.
    const double fraction = median_latency < 0.3 * mean_objective ? 0.6 : 0.5;
    const bool slow = latency > std::max(fraction * mean_objective, 1.3 * median_latency);
    // Missing: no success for longer than the usual time between reports since the weight last
    // changed, with 7 answers due (by chance once in a thousand rounds). If all reports are late,
    // last_round does not advance.
    const double silence =
        (last_round - std::max(b.weight_changed + Span::seconds(1.5), b.last_success)).seconds();
    const bool missing =
        silence > 1.6 * report_interval && silence * tries_per_weight[b.subset] * b.table_weight >= 7;
    // Failing: three errors or more in at least four tries, an error rate above 30 %, and three times
    // the fleet's error rate unless the list has lost the backend too. In an overload all backends
    // fail alike and none is removed.
    const bool failing = own.tries >= 4 && own.errored >= 3 &&
                         own.error_rate() > std::max(0.3, b.unlisted ? 0 : 3 * total_error_rate);
    if (missing || failing) {
      // Late answers shortly before indicate congestion, which less traffic relieves; prompt ones
      // indicate a fault.
      double recent_latency = 0;
      for (std::size_t k = b.samples.size(), n = 0; k-- > 0 && n < 4; ++n)
        recent_latency = std::max(recent_latency, b.samples[k].stats.mean_latency());
      return recent_latency > 0.6 * mean_objective ? Health::slow : Health::failed;
    }
    if (slow) return Health::slow;
    const bool healthy = own.tries >= 2 && own.error_rate() < 0.2 &&
                         latency < std::max(1.1 * median_latency, 0.35 * mean_objective);
    return healthy ? Health::healthy : Health::unknown;
  }

  void update_backends() {
    if (subset_count == 0) return;
    double total = 0, removed_weight = 0;
    for (const auto& [id, b] : backends)
      if (ready(b)) total += b.entry.weight, removed_weight += b.entry.weight * (1 - b.control.share);
    for (auto it = backends.begin(); it != backends.end();) {
      Backend& b = it->second;
      const double previous_share = b.control.share;
      Health health = assess(b);
      // Panic threshold: a verdict against more than two fifths of the weight is more likely wrong
      // than right, except for backends that the list has lost too.
      if (health >= Health::slow && removed_weight + b.entry.weight * previous_share > 0.4 * total &&
          !b.unlisted)
        health = Health::unknown;
      // A trial gets a hundredth of the traffic, in a large fleet half of the backend's full weight.
      b.control.advance(now, kTargetSteps, health, std::min(0.5, 0.01 * total / b.entry.weight));
      if (ready(b)) removed_weight += b.entry.weight * (previous_share - b.control.share);
      it = b.unlisted && b.control.share <= 0 ? backends.erase(it) : std::next(it);
    }
  }

  void update_zones() {
    std::map<ZoneId, std::pair<TryStats, double>> zone_stats;  // and the listed weight
    double total = 0;
    for (const auto& [id, b] : backends) {
      if (!ready(b)) continue;
      auto& [stats, weight] = zone_stats[b.entry.zone];
      weight += b.entry.weight, total += b.entry.weight;
      // A backend with a reduced share is already handled on its own.
      if (b.control.at_full_share()) stats += b.stats(kMaxSamples, zones[b.entry.zone].changed_at);
    }
    for (auto& [zone, control] : zones) {
      const auto& [own, weight] = zone_stats[zone];
      // Two other zones must remain, with capacity for the traffic of this one.
      bool failing = own.tries >= 200 && own.error_rate() > 0.05 && zone_stats.size() > 2 &&
                     mean_utilization * total < 0.95 * (total - weight);
      for (const auto& [other, other_stats] : zone_stats)
        if (other != zone)
          failing = failing && own.error_rate() > 2 * other_stats.first.error_rate() &&
                    zones[other].at_full_share();
      if (!failing) control.failing_since = now;
      Health health = own.error_rate() <= 0.05 ? Health::healthy : Health::unknown;
      if (failing && now - control.failing_since >= Span::seconds(3)) health = Health::failed;
      control.advance(now, kZoneSteps, health, weight > 0 ? std::min(1.0, 0.01 * total / weight) : 1);
    }
  }

  // A link is failing or slow if its tries fail or take long while proxies of another zone reach the
  // same backends well. The backends are not at fault, so the proxies of the zone are moved to the
  // backends that they can reach.
  void update_links() {
    std::map<std::pair<ZoneId, ZoneId>, TryStats> recent;
    const Instant window = now - Span::seconds(3.5 * report_interval);
    for (auto& [key, link] : links)
      recent[key] = link.stats(3, std::max(window, link.control.changed_at + Span::seconds(1)));
    for (auto& [key, link] : links) {
      // Error rates are compared with the best other link to the same zone, since most links to an
      // isolated zone fail. Latencies are also compared with the best link from the same proxies,
      // which may be slow themselves.
      TryStats best;
      double best_latency = 1e9;
      for (const auto& [other, stats] : recent) {
        if (stats.tries < 20 || (other.first == key.first) == (other.second == key.second)) continue;
        if (other.first == key.first)
          best_latency = std::min(best_latency, stats.mean_latency());
        else if (best.tries <= 0 || stats.error_rate() < best.error_rate())
          best = stats;
      }
      const TryStats own = recent[key];
      // Two fifths of 40 tries lost, with at most a fifth of that rate elsewhere, does not happen by
      // chance. A trial must do about as well as the other links, with some allowance since
      // congestion may slow all of them.
      const bool at_full_share = link.control.at_full_share();
      const double expected = std::max(best.mean_latency(), best_latency);
      const bool failing = own.error_rate() > (at_full_share ? 0.4 : 0.25) &&
                           own.error_rate() > (at_full_share ? 5 : 1.5) * best.error_rate();
      const bool slow = own.mean_latency() >
                        (at_full_share ? 1.5 : 1.0) * expected + (at_full_share ? 0.4 : 0.3) * mean_objective;
      Health health = own.tries >= 4 && !failing && !slow ? Health::healthy : Health::unknown;
      if ((failing || slow) && best.tries > 0 && own.tries >= (at_full_share ? 40 : 2))
        health = Health::failed;
      link.control.advance(now, kTargetSteps, health, 0.1);
    }
  }

  // ---- Wanted tables and limits ----------------------------------------------------------------------

  // Uses one table if the channel can send it in time and its backends stay in use. Otherwise the
  // backends are partitioned into subsets with an equal part of each zone and weight, so that weights
  // and share controllers act in each subset as in a single table. A backend used less than eight times
  // per keep-alive period leaves idle connections or causes new ones, and a table that takes over 3 s to
  // send delays every drain.
  void partition_backends() {
    if (proxies.empty()) return;
    const auto size = static_cast<double>(proxies.size());
    const double expected = std::max(1.0, settings.proxies / settings.coordinators);
    // Too few proxies have joined to estimate the subset size.
    if (subset_count == 0 && size < 0.5 * expected && now - *first_join < Span::seconds(0.5)) return;
    double rate = 0, n = 0;
    for (const auto& [id, p] : proxies) rate += p.rate;
    for (const auto& [id, b] : backends) n += ready(b) ? 1 : 0;
    const double in_use = rate / size * settings.keepalive.seconds() / 8;
    const double in_time = 3 * settings.push_rate / std::max(expected, size) - settings.per_message;
    // Below 12 backends the loss of a cell or a machine type affects the subsets too unevenly; below
    // 5 proxies per table there are too many tables.
    const double subset_size = rate > 0 ? std::max(12.0, std::min(in_use, in_time)) : n;
    const double subsets = std::min(n / subset_size, std::max(expected, size) / 5);
    const auto fit = static_cast<std::size_t>(std::clamp(subsets, 1.0, double{kMaxSubsets}));
    // A new partition resends every table.
    if (subset_count != 0 && fit <= 2 * subset_count && 2 * fit >= subset_count) return;
    subset_count = fit;
    std::vector<Backend*> shuffled;
    for (auto& [id, b] : backends) shuffled.push_back(&b);
    // Coordinators shuffle differently, so that their uneven subsets balance out.
    std::shuffle(shuffled.begin(), shuffled.end(), rng);
    std::stable_sort(shuffled.begin(), shuffled.end(), [](auto* a, auto* b) {
      return std::pair{a->entry.zone, a->entry.weight} < std::pair{b->entry.zone, b->entry.weight};
    });
    for (std::size_t k = 0; k < shuffled.size(); ++k) shuffled[k]->subset = k % subset_count;
    for (auto& [id, p] : proxies) p.subset.reset();
    tries_per_weight.assign(subset_count, 0);
  }

  void count_proxies_by_table() {
    for (auto& [number, table] : sent_tables) table.proxy_count = 0;
    for (const auto& [id, p] : proxies)
      for (const auto& table : {p.bound, p.zone_bound_table})
        if (table) ++sent_tables[*table].proxy_count;
  }

  void compute_tables() {
    wanted_tables.clear();
    retired_tables.clear();
    if (subset_count == 0) return;
    std::vector<double> warm_weights(subset_count, 0);
    for (const auto& [id, b] : backends) {
      const double share = b.control.share * zones[b.entry.zone].share;
      const double start_factor = ready(b) ? slow_start_factor(b) : 0;
      auto& weights = wanted_tables[table_id(b.subset)].weights;
      if (share * start_factor > 0) weights[id] = b.entry.weight * share * start_factor;
      if (start_factor >= 1) warm_weights[b.subset] += b.entry.weight * share;
    }
    // The last warm backends are never removed. A subset without any gets the backends of the subset
    // that has most; if none are left anywhere, the share controllers are ignored.
    const auto warmest = std::max_element(warm_weights.begin(), warm_weights.end());
    if (*warmest <= 0)
      for (const auto& [id, b] : backends)
        if (ready(b))
          wanted_tables[table_id(b.subset)].weights[id] =
              b.entry.weight * std::max(0.01, slow_start_factor(b));
    auto fallback = wanted_tables[table_id(static_cast<std::size_t>(warmest - warm_weights.begin()))].weights;
    for (std::size_t k = 0; k < subset_count; ++k)
      if (warm_weights[k] <= 0) wanted_tables[table_id(k)].weights.insert(fallback.begin(), fallback.end());
    if (!admission_control.has_limits()) admission_control.update(fleet_state());
    for (std::size_t k = 0; k < subset_count; ++k) hold_small_increases(table_id(k));
    compute_link_tables();
    compute_zone_bound_tables();
    for (auto& [id, table] : wanted_tables) table.admissions = admission_control.admissions();
    compute_retired_tables();
  }

  // A small increase waits until it is worth a message; a decrease does not.
  void hold_small_increases(TableId number) {
    const auto& sent = sent_tables[number].weights;
    for (auto& [id, weight] : wanted_tables[number].weights) {
      const auto row = sent.find(id);
      const double previous = row == sent.end() ? 0 : row->second;
      const bool restoring = slow_start_factor(backends[id]) < 1 || backends[id].control.share < 1;
      if (restoring && weight > previous && weight < 1.2 * previous) weight = previous;
    }
  }

  // While a link of a zone has a reduced share, the proxies of that zone get a table of their own, provided
  // that it keeps warm backends.
  void compute_link_tables() {
    for (const auto& [key, link] : links) {
      if (link.control.at_full_share()) continue;
      for (std::size_t k = 0; k < subset_count; ++k) {
        Table zone_table{wanted_tables[table_id(k)].weights, {}, {}, {}, 0};
        double remaining = 0;
        for (auto& [id, weight] : zone_table.weights) {
          weight *= links[{key.first, backends[id].entry.zone}].control.share;
          if (slow_start_factor(backends[id]) >= 1) remaining += weight;
        }
        std::erase_if(zone_table.weights, [](const auto& row) { return row.second <= 0; });
        if (remaining > 0) wanted_tables[link_table_id(k, key.first)] = std::move(zone_table);
      }
    }
  }

  // The operations that only the proxy's zone may serve have a table for each subset and zone, with the
  // subset's backends of the zone. The shares of the zone and of its links don't count there, since this
  // traffic has nowhere else to go. Where no warm backend has its full share, others of the zone stand in.
  void compute_zone_bound_tables() {
    if (zone_bound_operations.empty()) return;
    std::set<ZoneId> zones_to_serve;
    for (const auto& [id, p] : proxies) zones_to_serve.insert(p.zone);
    struct Lines {
      bool warm = false, at_full_share = false;
    };
    std::map<TableId, Lines> lines_by_table;
    ZoneFallback fallback;
    for (const auto& [id, b] : backends) {
      const double start_factor = ready(b) ? slow_start_factor(b) : 0;
      if (start_factor <= 0 || !zones_to_serve.contains(b.entry.zone)) continue;
      const bool warm = start_factor >= 1;
      if (warm) fallback.add({id, b.entry.zone, b.subset, b.entry.weight, b.control.share});
      if (b.control.share <= 0) continue;
      const TableId number = zone_bound_table_id(b.subset, b.entry.zone);
      wanted_tables[number].weights[id] = b.entry.weight * b.control.share * start_factor;
      Lines& lines = lines_by_table[number];
      lines.warm = lines.warm || warm;
      lines.at_full_share = lines.at_full_share || (warm && b.control.at_full_share());
    }
    for (const ZoneId zone : zones_to_serve)
      for (std::size_t k = 0; k < subset_count; ++k) {
        const TableId number = zone_bound_table_id(k, zone);
        auto& weights = wanted_tables[number].weights;
        const Lines& lines = lines_by_table[number];
        if (!lines.at_full_share)
          for (const auto& candidate : fallback.choose(zone, k, lines.warm))
            weights[candidate.backend] = candidate.weight * (candidate.share > 0 ? candidate.share : 1);
        hold_small_increases(number);
      }
  }

  // Proxies of a table that isn't wanted any more, after a new partition or when a link has recovered, use it
  // until the channel has room to bind them to another. Until then its lines stay as far as their backends
  // may keep them, and its proxies are left without a line as little as others.
  void compute_retired_tables() {
    for (const auto& [number, have] : sent_tables) {
      if (have.proxy_count <= 0 || wanted_tables.contains(number)) continue;
      Table table{{}, admission_control.admissions(), {}, {}, 0};
      bool has_warm_line = false;
      for (const auto& [id, weight] : have.weights) {
        const auto b = backends.find(id);
        if (b == backends.end() || !ready(b->second)) continue;
        const double start_factor = slow_start_factor(b->second);
        if (start_factor <= 0) continue;
        table.weights[id] = start_factor < 1 ? b->second.entry.weight * start_factor : weight;
        has_warm_line = has_warm_line || start_factor >= 1;
      }
      const auto& other_lines = wanted_tables[replacement_of(number)].weights;
      if (!has_warm_line) table.weights.insert(other_lines.begin(), other_lines.end());
      retired_tables[number] = std::move(table);
    }
  }

  // A table of the present partition for the same operations and zone.
  [[nodiscard]] TableId replacement_of(TableId number) const {
    const std::size_t subset = number.value % kTablesPerZone % kMaxSubsets % subset_count;
    if (!is_zone_bound(number)) return table_id(subset);
    return zone_bound_table_id(subset, ZoneId{static_cast<std::uint16_t>(number.value / kTablesPerZone - 1)});
  }

  // ---- Orders ----------------------------------------------------------------------------------------

  // The difference between a table and what was sent, by how long it may wait.
  struct TableChanges {
    std::vector<Order> required;    // removals and reductions of draining, gone or cold backends
    std::vector<Order> needed;      // lines without which proxies would have none, see take_needed_lines()
    std::vector<Order> deferrable;  // the rest waits until the channel has room
  };

  TableChanges changes_of(TableId number, const Table& wanted_table) {
    Table& have = sent_tables[number];
    TableChanges changes;
    auto weights = wanted_table.weights;
    for (const auto& [id, weight] : have.weights) weights.try_emplace(id, 0);
    for (const auto& [id, weight] : weights) {
      const auto row = have.weights.find(id);
      const double previous = row == have.weights.end() ? 0 : row->second;
      if (std::abs(previous - weight) <= 1e-9) continue;
      const auto b = backends.find(id);
      const bool required =
          weight < previous && (b == backends.end() || !ready(b->second) || slow_start_factor(b->second) < 1);
      (required ? changes.required : changes.deferrable).emplace_back(SetWeight{number, id, weight});
    }
    take_needed_lines(have, changes);
    have.admissions.resize(wanted_table.admissions.size(), Admission{RetryPolicy::none, -1});
    for (std::size_t k = 0; k < wanted_table.admissions.size(); ++k)
      if (const Admission& w = wanted_table.admissions[k], &h = have.admissions[k];
          settings.operations[k].zone_bound == is_zone_bound(number) &&
          (h.retries != w.retries || std::abs(h.limit - w.limit) >= 0.03 * w.limit))
        changes.deferrable.emplace_back(SetAdmission{number, operation_id(k), w.retries, w.limit});
    return changes;
  }

  // Takes out of the deferrable changes the lines without which the table's proxies would be left with no
  // line or no warm one.
  void take_needed_lines(const Table& have, TableChanges& changes) const {
    if (changes.deferrable.empty()) return;
    std::set<BackendId> removed;
    for (const auto& order : changes.required)
      if (const auto* change = std::get_if<SetWeight>(&order); change != nullptr && change->weight <= 0)
        removed.insert(change->backend);
    bool line_left = false, warm_line_left = false;
    for (const auto& [id, weight] : have.weights) {
      const auto b = backends.find(id);
      if (b == backends.end() || removed.contains(id)) continue;
      line_left = true;
      warm_line_left = warm_line_left || slow_start_factor(b->second) >= 1;
    }
    if (warm_line_left) return;
    const auto needed = [&](const Order& order) {
      const auto* change = std::get_if<SetWeight>(&order);
      if (change == nullptr || change->weight <= 0) return false;
      return !line_left || slow_start_factor(backends.at(change->backend)) >= 1;
    };
    const auto first_needed = std::stable_partition(changes.deferrable.begin(), changes.deferrable.end(),
                                                    [&](const Order& order) { return !needed(order); });
    std::move(first_needed, changes.deferrable.end(), std::back_inserter(changes.needed));
    changes.deferrable.erase(first_needed, changes.deferrable.end());
  }

  [[nodiscard]] int tables_per_proxy() const { return zone_bound_operations.empty() ? 1 : 2; }

  // Orders the changes of a table. `forced`: those that can't wait, with the others if the channel has room;
  // otherwise those of a table where all can wait.
  void send_table(TableId number, const Table& wanted_table, bool forced) {
    const auto [required, needed, deferrable] = changes_of(number, wanted_table);
    if (forced == (required.empty() && needed.empty())) return;

    Table& have = sent_tables[number];
    auto& sent = have.message_times;
    while (!sent.empty() && now - sent.front() > settings.messages_window) sent.pop_front();
    const auto cost = [&](std::size_t n) {
      return have.proxy_count * channel.message_cost(static_cast<double>(n));
    };
    const auto fits = [&](std::size_t n) {
      return have.proxy_count <= 0 || channel.has_room_for(now, cost(n));
    };
    const bool interval_passed = now - have.last_sent >= Span::seconds(0.5);
    const bool under_cap =
        settings.messages_most == 0 ||
        static_cast<double>(sent.size()) < 0.6 * settings.messages_most / tables_per_proxy();
    const bool room = channel.backlog(now) + cost(required.size() + needed.size() + deferrable.size()) <=
                      (forced ? channel.change_limit() : channel.deferrable_limit());
    std::vector<Order> orders = required;
    if (fits(required.size() + needed.size())) orders.insert(orders.end(), needed.begin(), needed.end());
    if (have.proxy_count <= 0 || (room && (forced || (interval_passed && under_cap))))
      orders.insert(orders.end(), deferrable.begin(), deferrable.end());
    if (orders.empty() || !fits(orders.size())) return;
    if (have.proxy_count > 0) sent.push_back(now), have.last_sent = now;
    channel.write(now, cost(orders.size()));
    for (const auto& order : orders) send_order(number, order);
  }

  void send_order(TableId number, const Order& order) {
    Table& have = sent_tables[number];
    out.push_back(order);
    if (const auto* admission = std::get_if<SetAdmission>(&order))
      have.admissions[admission->operation.value] = {admission->retries, admission->limit};
    const auto* change = std::get_if<SetWeight>(&order);
    if (change == nullptr) return;
    have.weights[change->backend] = change->weight;
    if (change->weight <= 0) have.weights.erase(change->backend);
    const auto b = backends.find(change->backend);
    if (b != backends.end() && number == table_id(b->second.subset))
      b->second.weight_changed = now, b->second.table_weight = change->weight;
  }

  // Required changes first, then the tables that have waited longest.
  void send_changes() {
    std::vector<std::pair<Instant, TableId>> waiting;
    for (const auto& [number, wanted_table] : wanted_tables) {
      send_table(number, wanted_table, true);
      waiting.emplace_back(sent_tables[number].last_sent, number);
    }
    for (const auto& [number, table] : retired_tables) send_table(number, table, true);
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [last, number] : waiting) send_table(number, wanted_tables[number], false);
  }

  // Assigns new proxies to subsets by their rate relative to the subset's weight, highest rate first.
  void assign_subsets() {
    std::vector<double> load(subset_count, 0), room(subset_count, 1e-9);
    for (std::size_t k = 0; k < subset_count; ++k)
      for (const auto& [id, weight] : wanted_tables[table_id(k)].weights) room[k] += weight;
    std::vector<Proxy*> unassigned;
    for (auto& [id, p] : proxies) p.subset ? void(load[*p.subset] += p.rate) : unassigned.push_back(&p);
    std::stable_sort(unassigned.begin(), unassigned.end(),
                     [](auto* a, auto* b) { return a->rate > b->rate; });
    for (auto* p : unassigned) {
      std::size_t best = 0;
      for (std::size_t k = 1; k < subset_count; ++k)
        if ((load[k] + p->rate) / room[k] < (load[best] + p->rate) / room[best]) best = k;
      p->subset = best, load[best] += p->rate;
    }
  }

  // The proxies that are to use other tables than they are bound to: first those that use the tables they
  // brought, in the order in which they joined, then the others.
  std::vector<PendingBinding> pending_bindings() {
    std::vector<PendingBinding> pending;
    for (auto& [id, p] : proxies) {
      const TableId link_table = link_table_id(*p.subset, p.zone);
      const TableId table = wanted_tables.contains(link_table) ? link_table : table_id(*p.subset);
      if (sent_tables[table].weights.empty()) {
        // There is nothing to bind it to yet; only removals can be sent.
        if (!p.is_bound()) pending.push_back({id, &p, {}, {}, 0});
        continue;
      }
      PendingBinding binding{id, &p, {}, {}, 0};
      if (p.bound != table) binding.table = table;
      // Even a table without lines: the proxy's former one may have lines of other zones.
      const TableId zone_bound_table = zone_bound_table_id(*p.subset, p.zone);
      if (!zone_bound_operations.empty() && p.zone_bound_table != zone_bound_table)
        binding.zone_bound_table = zone_bound_table;
      if (!binding.table && !binding.zone_bound_table) continue;
      binding.cost = binding_cost(binding);
      pending.push_back(binding);
    }
    std::stable_sort(pending.begin(), pending.end(), [](const PendingBinding& a, const PendingBinding& b) {
      if (a.proxy->is_bound() != b.proxy->is_bound()) return b.proxy->is_bound();
      return a.proxy->joined < b.proxy->joined;
    });
    return pending;
  }

  // If all operations are bound to the zone, none uses the table for other operations.
  [[nodiscard]] bool is_used(const std::vector<OperationId>& operations) const {
    return !operations.empty() || zone_bound_operations.empty();
  }

  // Both tables go to the proxy in one message.
  double binding_cost(const PendingBinding& binding) {
    double lines = 0;
    if (binding.table && is_used(other_operations)) lines += table_lines(*binding.table);
    if (binding.zone_bound_table) lines += table_lines(*binding.zone_bound_table);
    return lines > 0 ? channel.message_cost(lines) : 0;
  }

  // The lines of a whole table: its weights, its levels and the mark that it is whole.
  double table_lines(TableId table) {
    const Table& have = sent_tables[table];
    const auto levels = std::count_if(have.admissions.begin(), have.admissions.end(),
                                      [](const Admission& admission) { return admission.limit >= 0; });
    return 1 + static_cast<double>(have.weights.size()) + static_cast<double>(levels);
  }

  void bind(const PendingBinding& binding) {
    Proxy& p = *binding.proxy;
    if (binding.table) {
      p.bound = binding.table;
      const bool all_operations = zone_bound_operations.empty();
      if (is_used(other_operations))
        out.emplace_back(BindProxy{binding.id, *binding.table,
                                   all_operations ? std::vector<OperationId>{} : other_operations});
    }
    if (binding.zone_bound_table) {
      p.zone_bound_table = binding.zone_bound_table;
      out.emplace_back(BindProxy{binding.id, *binding.zone_bound_table, zone_bound_operations});
    }
    channel.write(now, binding.cost);
  }

  // Lines that it takes to tell a proxy in time which backends it must stop using: those that the table it
  // brought may still name, or the next one that drains.
  double owed_to(const Proxy& p) const {
    if (p.is_bound()) return channel.message_cost(1);
    if (!settings.can_edit_unordered_tables) return 0;
    return channel.message_cost(std::max(1.0, static_cast<double>(withdrawals.count_after(p.last_removal))));
  }

  // Binds as many proxies as the channel has room for. Removals are owed within the drain grace, whole tables
  // are not, so tables leave room for the removals of all proxies; and a proxy that has to wait for its
  // tables is told of the removals alone.
  void bind_proxies() {
    if (subset_count == 0) return;
    assign_subsets();
    const auto pending = pending_bindings();
    if (pending.empty()) return;
    double owed = 0;
    for (const auto& [id, p] : proxies) owed += owed_to(p);
    bool has_room = true;
    for (const auto& binding : pending) {
      const double owed_after = owed - owed_to(*binding.proxy) + channel.message_cost(1);
      has_room = has_room && channel.backlog(now) + binding.cost <= channel.table_limit(owed_after);
      if (has_room && (binding.table || binding.zone_bound_table)) {
        bind(binding);
        owed = owed_after;
      } else if (!binding.proxy->is_bound()) {
        order_removals(binding);
      }
    }
  }

  // Removes withdrawn backends from the table that a proxy brought along. In all, these messages cost less
  // than kMaxRemovalCost times the proxy's whole tables, so no table waits for ever behind them.
  void order_removals(const PendingBinding& binding) {
    if (!settings.can_edit_unordered_tables) return;
    Proxy& p = *binding.proxy;
    auto withdrawn = withdrawals.after(p.last_removal);
    if (withdrawn.empty()) return;
    const double cost = channel.message_cost(static_cast<double>(withdrawn.size()));
    const bool cheaper_than_tables =
        binding.cost <= 0 || p.removal_cost + cost < kMaxRemovalCost * binding.cost;
    if (!cheaper_than_tables || !channel.has_room_for(now, cost)) return;
    out.emplace_back(RemoveBackends{binding.id, std::move(withdrawn)});
    p.last_removal = withdrawals.last_number();
    p.removal_cost += cost;
    channel.write(now, cost);
  }

  std::vector<Order> handle(Instant at, const std::vector<Event>& events) {
    now = at;
    out.clear();
    for (const auto& event : events) std::visit([this](const auto& e) { on_event(e); }, event);
    withdrawals.forget_expired(now);
    process_reports();
    if (settings.explicit_subscription && !subscribed && (!next_subscribe || now >= *next_subscribe)) {
      next_subscribe = now + settings.subscribe_timeout * 0.5;  // retry after half of the timeout
      out.emplace_back(SubscribeToList{});
    }
    partition_backends();
    update_backends();
    update_zones();
    count_proxies_by_table();
    compute_tables();
    send_changes();
    bind_proxies();
    if (!next_wake || now >= *next_wake) {
      next_wake = now + kTickInterval;
      out.emplace_back(SetTimer{kTickInterval, TimerTag{0}});
    }
    return std::move(out);
  }
};

Policy::ChannelEstimate Policy::channel_estimate(Instant now) const {
  return {state_->channel.backlog(now), state_->channel.total_written()};
}

PolicySnapshot Policy::snapshot(Instant now) const {
  PolicySnapshot saved;
  const auto state = [now](const ShareController& control) {
    return PolicySnapshot::ShareState{
        control.share,           control.reducing,         control.was_slow,
        control.next_step - now, now - control.changed_at, control.failed_trials};
  };
  const auto significant = [](const ShareController& control) {
    return !control.at_full_share() || control.failed_trials > 0;
  };
  for (const auto& [zone, control] : state_->zones)
    if (significant(control)) saved.zones[zone] = state(control);
  for (const auto& [id, b] : state_->backends)
    if (significant(b.control)) saved.backends[id] = state(b.control);
  for (const auto& [key, link] : state_->links)
    if (significant(link.control)) saved.links[key] = state(link.control);
  const auto& capacity_samples = state_->admission_control.capacity_samples();
  saved.capacity_samples = {capacity_samples.begin(), capacity_samples.end()};
  return saved;
}

void Policy::restore(Instant now, const PolicySnapshot& saved) {
  // Keeps the lower share, so that no traffic returns to a target that another instance saw fail.
  const auto merge = [now](ShareController& current, const PolicySnapshot::ShareState& r) {
    const int failed_trials = std::max(current.failed_trials, r.failed_trials);
    if (r.share < current.share || (r.reducing && current.at_full_share()))
      current = {r.share, r.reducing, now + r.next_step_in, now - r.since_change, now, 0, r.was_slow};
    current.failed_trials = failed_trials;
  };
  for (const auto& [zone, state] : saved.zones) merge(state_->zones[zone], state);
  for (const auto& [key, state] : saved.links) merge(state_->links[key].control, state);
  for (const auto& [id, state] : saved.backends) {
    const auto entry = state_->backends.find(id);
    merge(entry == state_->backends.end() ? state_->restored[id] : entry->second.control, state);
  }
  state_->admission_control.restore_capacity_samples(saved.capacity_samples);
}

Policy::Policy(Settings settings, std::uint64_t seed)
    : state_{std::make_unique<State>(std::move(settings), seed)} {}
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
Policy::~Policy() = default;

std::vector<Order> Policy::handle(Instant now, const std::vector<Event>& events) {
  return state_->handle(now, events);
}

}  // namespace gorsemount

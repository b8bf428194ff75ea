#include "lab/replay/fit.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <stdexcept>

#include "config/settings.hpp"
#include "record/codec.hpp"

namespace gorsemount::lab {

namespace {

constexpr double kIdleUtilization = 0.5;   // below it, latency equals the work of an operation
constexpr double kBusyUtilization = 0.15;  // above it, throughput over utilization estimates capacity
constexpr double kEstimateCoverage = 0.8;  // the range of an estimate: from the 10th to the 90th percentile

double quantile(std::vector<double> v, double part) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(part * static_cast<double>(v.size())))];
}
Estimate estimate(std::string what, std::string how, const std::vector<double>& values) {
  return {std::move(what), std::move(how), quantile(values, 0.5),
          quantile(values, (1 - kEstimateCoverage) / 2), quantile(values, (1 + kEstimateCoverage) / 2)};
}

struct Worker {
  std::string name;
  std::size_t zone = 0;
  std::optional<coordinator::LoadSample> last;
  Instant at;
  std::vector<double> capacity;
  std::optional<Instant> down, hung;
};

}  // namespace

FittedDay fit(const record::Recording& r) {
  FittedDay f;
  config::Findings findings;
  if (!r.header.day.empty()) {
    f.day = script::read_day(r.header.day, "the recorded day", findings);
    if (!findings.faults.empty()) throw std::runtime_error{findings.faults.front().text()};
    f.scripted = true;
    return f;
  }
  const auto settings = config::read_settings(r.header.settings, "the recorded settings", findings);
  if (!findings.faults.empty()) throw std::runtime_error{findings.faults.front().text()};
  const auto& core = settings.core;
  std::vector<std::vector<double>> work(core.operations.size());
  std::map<BackendId, Worker> workers;
  std::map<std::string, BackendId> ids;
  std::uint32_t next_id = 1;
  std::map<std::int64_t, double> taken;  // by second
  std::vector<script::InjectedFault> injected_faults;
  std::optional<std::int64_t> first, last_t;
  std::size_t unreadable_steps = 0;
  const auto add_injected_fault = [&](script::InjectedFaultKind kind, const Worker& w, Instant from,
                                      Instant to) {
    script::InjectedFault t;
    t.name = "recorded", t.kind = kind, t.zone = core.zones[w.zone], t.count = 1;
    t.at = from - Instant{} - Span::micros(*first), t.lasts = to - from;
    injected_faults.push_back(t);
  };
  for (const auto& step : r.steps) {
    if (!first) first = step.t;
    last_t = step.t;
    const auto decoded = record::decode(step.inputs, Instant{});
    if (!std::holds_alternative<std::vector<coordinator::Input>>(decoded)) {
      ++unreadable_steps;
      continue;
    }
    const Instant now = Instant{} + Span::micros(step.t);
    for (const auto& input : std::get<std::vector<coordinator::Input>>(decoded)) {
      if (const auto* roster = std::get_if<coordinator::RosterUpdate>(&input)) {
        // The coordinator assigns ids in the order in which names first appear.
        for (const auto& e : roster->entries) {
          const auto [it, fresh] = ids.try_emplace(e.name, BackendId{next_id});
          if (fresh) ++next_id;
          workers[it->second].name = e.name, workers[it->second].zone = e.zone.value;
        }
      } else if (const auto* load = std::get_if<coordinator::LoadReport>(&input)) {
        Worker& w = workers[load->backend];
        if (w.last && w.last->boot == load->sample.boot && now > w.at) {
          const double over = (now - w.at).seconds();
          double done = 0;
          for (const auto& c : load->sample.counts) {
            const auto was = std::find_if(w.last->counts.begin(), w.last->counts.end(), [&](const auto& o) {
              return o.operation == c.operation && o.source == c.source;
            });
            const std::uint64_t succeeded = c.succeeded - (was == w.last->counts.end() ? 0 : was->succeeded);
            const double latency = c.latency - (was == w.last->counts.end() ? 0 : was->latency);
            taken[step.t / 1'000'000] +=
                static_cast<double>(c.taken - (was == w.last->counts.end() ? 0 : was->taken));
            if (succeeded == 0 || succeeded > 1U << 30U || c.operation.value >= work.size()) continue;
            done += static_cast<double>(succeeded);
            if (load->sample.util.value_or(1) < kIdleUtilization && load->sample.queue.value_or(1) == 0)
              work[c.operation.value].push_back(latency / static_cast<double>(succeeded));
          }
          if (load->sample.util.value_or(0) > kBusyUtilization && over > 0)
            w.capacity.push_back(done / over / *load->sample.util);
        }
        w.last = load->sample, w.at = now;
      } else if (const auto* health = std::get_if<coordinator::HealthCheckResult>(&input)) {
        Worker& w = workers[health->backend];
        if (health->health == coordinator::Health::refused && !w.down) w.down = now;
        if (health->health == coordinator::Health::failed && !w.hung && !w.down) w.hung = now;
        if (health->health == coordinator::Health::passed) {
          if (w.down) add_injected_fault(script::InjectedFaultKind::crash, w, *w.down, now);
          // A single lost health check doesn't count as a hang; failures for over 1 s do.
          if (w.hung && now - *w.hung > Span::seconds(1))
            add_injected_fault(script::InjectedFaultKind::hang, w, *w.hung, now);
          w.down.reset(), w.hung.reset();
        }
      }
    }
  }
  if (workers.empty() || !first || *last_t == *first)
    throw std::runtime_error{"the recording has neither a script of the day nor inputs from workers"};
  const Instant end = Instant{} + Span::micros(*last_t);
  for (auto& [id, w] : workers) {
    if (w.down) add_injected_fault(script::InjectedFaultKind::crash, w, *w.down, end);
    if (w.hung && end - *w.hung > Span::seconds(1)) {
      add_injected_fault(script::InjectedFaultKind::hang, w, *w.hung, end);
      f.assumptions.push_back(
          w.name + " accepted invocations and answered none; the usual work of the operation is assumed");
    }
  }
  if (unreadable_steps > 0)
    f.assumptions.push_back(fmt::format("{} steps without readable inputs", unreadable_steps));
  script::Day& d = f.day;
  d.name = r.header.name, d.zones = core.zones, d.length = Span::micros(*last_t - *first),
  d.settle = Span::seconds(1);
  for (std::size_t k = 0; k < core.operations.size(); ++k) {
    const auto& op = core.operations[k];
    constexpr const char* effects[] = {"idempotent", "fingerprinted", "side-effecting"};
    const auto e = estimate("work of " + op.name + ", s",
                            "latency of succeeded invocations at workers below 50% utilization", work[k]);
    if (work[k].empty())
      f.assumptions.push_back(
          "work of " + op.name +
          ": not observed at an idle worker; a tenth of its latency objective is assumed");
    double share = 0;
    for (const auto& [id, w] : workers)
      if (w.last)
        for (const auto& c : w.last->counts)
          if (c.operation.value == k) share += static_cast<double>(c.taken);
    d.operations.push_back({op.name, effects[static_cast<std::size_t>(op.effect)], std::max(1e-3, share),
                            Span::seconds(e.value > 0 ? e.value : op.latency_objective.seconds() / 10),
                            op.latency_objective, op.integration_timeout, op.billed_value});
    f.estimates.push_back(e);
  }
  double mean_work = 0, all_share = 0;
  for (const auto& op : d.operations) mean_work += op.share * op.work.seconds(), all_share += op.share;
  mean_work /= std::max(1e-9, all_share);
  for (std::size_t z = 0; z < core.zones.size(); ++z) {
    std::vector<double> capacity;
    int count = 0;
    for (const auto& [id, w] : workers)
      if (w.zone == z) ++count, capacity.insert(capacity.end(), w.capacity.begin(), w.capacity.end());
    if (count == 0) continue;
    auto e = estimate("cores of a worker in " + core.zones[z],
                      "invocations per second over utilization, times their work", capacity);
    e.value *= mean_work, e.low *= mean_work, e.high *= mean_work;
    if (capacity.empty())
      f.assumptions.push_back("capacity in " + core.zones[z] +
                              ": not busy enough for an estimate; two cores are assumed"),
          e = {e.what, "assumed", 2, 1, 8};
    script::DayWorkers w;
    w.zone = core.zones[z], w.count = std::min(count, 250), w.cores = std::max(1.0, std::round(e.value)),
    w.speed = e.value / w.cores;
    d.workers.push_back(w);
    f.estimates.push_back(e);
  }
  double total = 0;
  for (const auto& [t, n] : taken) total += n;
  const double mean_rate = total / d.length.seconds();
  for (const auto& zone : core.zones) {
    script::DayClients c;
    c.zone = zone, c.count = 8,
    c.rate = std::max(0.01, mean_rate / 8 / static_cast<double>(core.zones.size()));
    d.clients.push_back(c);
  }
  f.assumptions.emplace_back("clients: eight per zone with equal rates are assumed");
  for (std::int64_t t = *first / 1'000'000; t <= *last_t / 1'000'000; t += 5) {
    double n = 0;
    for (std::int64_t k = t; k < t + 5; ++k) n += taken.contains(k) ? taken[k] : 0;
    const std::int64_t since_first = t - *first / 1'000'000;  // whole seconds
    d.phases.push_back({"second " + std::to_string(since_first),
                        Span::seconds(static_cast<double>(since_first)), n / 5 / std::max(1e-9, mean_rate)});
  }
  d.troubles = std::move(injected_faults);
  d.coordinators = {settings.zone_name};
  d.drain_grace = core.drain_grace, d.unserved = core.unserved, d.cold_for = core.cold_for,
  d.tip_after = Span::seconds(2);
  d.cold_from = core.cold_from, d.tip_multiple = core.tip_multiple, d.backlog = core.backlog,
  d.lines_per_second = core.lines_per_second;
  d.messages_most = core.messages_most, d.messages_window = core.messages_window, d.levels = core.levels;
  return f;
}

Calibration calibrate(const record::Recording& r, const script::Day& day, const Outcome& played) {
  Calibration c;
  struct Sum {
    double asked = 0, in_time = 0;
    std::vector<double> took;
  };
  std::vector<Sum> ops(day.operations.size());
  std::map<std::string, double> zones;
  double all = 0;
  for (const auto& i : r.invocations) {
    // Matched by name, because the numbers in the recording follow the order of appearance.
    const std::string name = i.operation < r.operations.size() ? r.operations[i.operation] : "";
    for (std::size_t k = 0; k < day.operations.size(); ++k) {
      if (day.operations[k].name != name) continue;
      ops[k].asked += day.operations[k].billed_value;
      if (i.outcome == 0)
        ops[k].in_time += day.operations[k].billed_value, ops[k].took.push_back(i.took / 1e6);
    }
    if (i.worker < r.workers.size())
      ++all, ++zones[r.workers[i.worker].substr(0, r.workers[i.worker].rfind('-'))];
  }
  double asked = 0, in_time = 0;
  std::vector<std::vector<double>> took(day.operations.size());
  for (const auto& e : played.completions)
    if (e.outcome == 0) took[e.operation].push_back(e.latency);
  for (std::size_t k = 0; k < ops.size(); ++k) {
    asked += ops[k].asked, in_time += ops[k].in_time;
    c.rows.push_back(
        {day.operations[k].name + ", value asked for", ops[k].asked, played.by_operation[k].offered_value});
    c.rows.push_back({day.operations[k].name + ", service",
                      ops[k].asked > 0 ? ops[k].in_time / ops[k].asked : 1,
                      played.by_operation[k].service()});
    for (const double part : {0.5, 0.95})
      c.rows.push_back({fmt::format("{}, latency {:.0f}%, s", day.operations[k].name, 100 * part),
                        quantile(ops[k].took, part), quantile(took[k], part)});
  }
  const double service = asked > 0 ? in_time / asked : 1;
  c.rows.push_back({"service", service, played.whole.service()});
  c.service_error = std::abs(service - played.whole.service());
  std::vector<double> by_zone(day.zones.size());
  double sum = 0;
  std::size_t w = 0;
  for (const auto& kind : day.workers)
    for (int n = 0; n < kind.count; ++n, ++w) {
      const auto z = static_cast<std::size_t>(std::find(day.zones.begin(), day.zones.end(), kind.zone) -
                                              day.zones.begin());
      by_zone[z] += static_cast<double>(played.arrivals_by_worker[w]),
          sum += static_cast<double>(played.arrivals_by_worker[w]);
    }
  for (std::size_t z = 0; z < day.zones.size() && all > 0; ++z) {
    c.rows.push_back({"part of " + day.zones[z], zones[day.zones[z]] / all, by_zone[z] / std::max(1.0, sum)});
    c.zone_error = std::max(c.zone_error, std::abs(c.rows.back().recorded - c.rows.back().played));
  }
  return c;
}

record::Recording recording_of(const script::Day& day, const std::string& day_text, const Outcome& outcome) {
  record::Recording r;
  r.header.name = day.name, r.header.day = day_text;
  for (const auto& op : day.operations) r.operations.push_back(op.name);
  std::map<std::string, std::size_t> numbers;
  for (const auto& w : day.workers)
    for (int n = 0; n < w.count; ++n) r.workers.push_back(w.zone + "-" + std::to_string(++numbers[w.zone]));
  std::vector<Outcome::Completion> ended = outcome.completions;
  std::stable_sort(ended.begin(), ended.end(),
                   [](const auto& a, const auto& b) { return a.start < b.start; });
  for (const auto& e : ended)
    r.invocations.push_back({static_cast<std::int64_t>(e.start * 1e6),
                             static_cast<std::uint32_t>(e.latency * 1e6), e.operation, e.outcome, e.tries,
                             e.proxy, e.worker});
  return r;
}

}  // namespace gorsemount::lab

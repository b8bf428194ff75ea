#include "app/simulate.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "app/exit_codes.hpp"
#include "config/settings.hpp"
#include "lab/replay/settings.hpp"
#include "lab/simulation/simulation.hpp"

namespace gorsemount::app {

namespace {

double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

// Recovery time after the start and end of each fault: until the service over 3 s has returned to 0.98 of
// that in the 10 s before the first fault, and stays there until the next event.
std::string recovery_report(const script::Day& day,
                            const std::vector<std::optional<lab::Outcome>>& outcomes) {
  std::vector<std::pair<double, double>> seconds;
  for (const auto& outcome : outcomes) {
    seconds.resize(std::max(seconds.size(), outcome->by_second.size()));
    for (std::size_t index = 0; index < outcome->by_second.size(); ++index)
      seconds[index].first += outcome->by_second[index].first,
          seconds[index].second += outcome->by_second[index].second;
  }
  std::vector<std::pair<double, std::string>> events;
  for (const auto& trouble : day.troubles)
    events.emplace_back(trouble.at.seconds(), trouble.name),
        events.emplace_back((trouble.at + trouble.lasts).seconds(), trouble.name + " ends");
  std::sort(events.begin(), events.end());
  const double end = (day.length - day.settle).seconds();
  const auto service = [&](double from, double to) {
    double asked = 0, in_time = 0;
    for (auto index = static_cast<std::size_t>(std::max(0.0, from));
         index < std::min(seconds.size(), static_cast<std::size_t>(to)); ++index)
      asked += seconds[index].first, in_time += seconds[index].second;
    return asked > 0 ? in_time / asked : 1;
  };
  std::string text;
  if (events.empty() || events.front().first < 3) return text;
  const double baseline = service(events.front().first - 10, events.front().first);
  for (std::size_t index = 0; index < events.size(); ++index) {
    const double from = events[index].first,
                 to = std::min(end, index + 1 < events.size() ? events[index + 1].first : end);
    double recovery_seconds = 0;
    for (double event_time = from; event_time + 3 <= to; ++event_time)
      if (service(event_time, event_time + 3) < 0.98 * baseline) recovery_seconds = event_time + 3 - from;
    if (to - from >= 3)
      text +=
          fmt::format("  recovery to 0.98 of {:.3f} after {:<24} {:>5}\n", baseline, events[index].second,
                      recovery_seconds + 3 > to - from ? "never" : fmt::format("{:.0f} s", recovery_seconds));
  }
  return text;
}

}  // namespace

int simulate(const SimulateOptions& options) {
  config::Findings findings;
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(options.day, faults);
  const script::Day day = faults.empty() ? script::read_day(text, options.day, findings) : script::Day{};
  faults.insert(faults.end(), findings.faults.begin(), findings.faults.end());
  for (const auto& error : faults) std::fprintf(stderr, "%s\n", error.text().c_str());
  if (!faults.empty()) return kExitInvalidConfig;
  const std::map<std::string, lab::DecisionMakerKind> deciders{
      {"module", lab::DecisionMakerKind::policy},
      {"equal", lab::DecisionMakerKind::fixed_weights},
      {"zone-local", lab::DecisionMakerKind::zone_local},
      {"oracle", lab::DecisionMakerKind::oracle}};
  std::vector<lab::Override> changes;
  try {
    for (const auto& change : options.changes) changes.push_back(lab::read_override(change));
    for (std::size_t number = 1; number <= day.coordinators.size(); ++number)
      static_cast<void>(lab::settings_for(day, number, "",
                                          changes));  // throws for invalid overrides before anything starts
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gorsemount: %s\n", error.what());
    return kExitInvalidConfig;
  }
  std::vector<std::optional<lab::Outcome>> outcomes(static_cast<std::size_t>(options.seeds));
  std::atomic<std::size_t> next = 0;
  const auto start = std::chrono::steady_clock::now();
  std::mutex printing;
  const auto work = [&] {
    for (std::size_t index = next++; index < outcomes.size(); index = next++) {
      lab::SimulationSettings settings;
      settings.seed = options.first_seed + index, settings.random_faults = options.fault_count,
      settings.fencing = options.fencing, settings.keep_store = options.durable;
      settings.decision_maker = deciders.at(options.decider);
      settings.settings = [&](std::size_t number) { return lab::settings_for(day, number, "", changes); };
      settings.clock_drift = options.fault_count > 0 ? 0.01 : 0;
      outcomes[index] = lab::Simulation{day, std::move(settings)}.run();
      const std::lock_guard lock{printing};
      for (const auto& rule : outcomes[index]->broken_rules(day))
        std::printf("  BROKEN  seed %llu: %s\n", static_cast<unsigned long long>(options.first_seed) + index,
                    rule.c_str());
      std::fflush(stdout);
    }
  };
  std::vector<std::thread> threads;
  for (int index = 1; index < options.jobs; ++index) threads.emplace_back(work);
  work();
  for (auto& thread : threads) thread.join();
  const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::vector<double> service, worst, leaderless;
  double unserved = 0, drain_overrun = 0, cold_load = 0, waiting = 0;
  std::uint64_t broken = 0, stale_orders = 0, refused_terms = 0, takeovers = 0, partial_changes = 0,
                cluster_bytes = 0, tries = 0, crossings = 0, further_tries = 0;
  for (const auto& outcome : outcomes) {
    service.push_back(outcome->whole.service()), worst.push_back(outcome->worst_ten_seconds());
    leaderless.insert(leaderless.end(), outcome->leaderless_times.begin(), outcome->leaderless_times.end());
    unserved = std::max(unserved, outcome->longest_unserved),
    drain_overrun = std::max(drain_overrun, outcome->longest_send_after_drain),
    cold_load = std::max(cold_load, outcome->worst_cold_overload);
    waiting = std::max(waiting, outcome->most_waiting_lines),
    broken += outcome->broken_rules(day).empty() ? 0 : 1, stale_orders += outcome->stale_terms_accepted;
    refused_terms += outcome->stale_terms_rejected, takeovers += outcome->takeovers,
        partial_changes += outcome->partial_batches, cluster_bytes += outcome->cluster_bytes;
    tries += outcome->tries, crossings += outcome->cross_zone_tries, further_tries += outcome->retries;
  }
  const double mean = [&] {
    double sum = 0;
    for (const double value : service) sum += value;
    return sum / static_cast<double>(service.size());
  }();
  const double simulated = day.length.seconds() * static_cast<double>(options.seeds);
  std::printf("%s\n", fmt::format("{} runs of {:.0f} s, {:.1f} simulated seconds per second", options.seeds,
                                  day.length.seconds(), simulated / elapsed)
                          .c_str());
  const auto row = [](const char* what, double value, const std::string& more) {
    std::printf("%s\n", fmt::format("  {:<46} {:>10.4f}  {}", what, value, more).c_str());
  };
  row("service, mean of the runs", mean,
      fmt::format("lowest {:.4f}", *std::min_element(service.begin(), service.end())));
  lab::Tally all;
  for (const auto& outcome : outcomes) all.add(outcome->whole);
  const auto percent = [&](std::uint64_t count) {
    return 100 * static_cast<double>(count) /
           static_cast<double>(std::max<std::uint64_t>(1, all.invocations));
  };
  std::printf(
      "%s\n",
      fmt::format("  of invocations: late {:.2f}%, errored {:.2f}%, rate-limited {:.2f}%, no line {:.2f}%",
                  percent(all.late), percent(all.errored), percent(all.rate_limited), percent(all.no_line))
          .c_str());
  std::vector<lab::Tally> buckets;
  for (const auto& outcome : outcomes) {
    buckets.resize(std::max(buckets.size(), outcome->by_ten_seconds.size()));
    for (std::size_t index = 0; index < outcome->by_ten_seconds.size(); ++index)
      buckets[index].add(outcome->by_ten_seconds[index]);
  }
  std::string by_ten_seconds;
  for (const auto& tally : buckets) by_ten_seconds += fmt::format(" {:.3f}", tally.service());
  std::printf("  service by 10 s:%s\n", by_ten_seconds.c_str());
  for (std::size_t zone = 0; zone < day.zones.size(); ++zone) {
    std::string parts;
    for (std::size_t bucket = 0; bucket * 10 < static_cast<std::size_t>(day.length.seconds()); ++bucket) {
      double tries_by_zone = 0, all_tries = 0;
      for (const auto& outcome : outcomes)
        for (const auto& moment : outcome->samples)
          if (moment.at > 10.0 * static_cast<double>(bucket) &&
              moment.at <= 10.0 * static_cast<double>(bucket + 1))
            for (std::size_t target = 0; target < moment.tries_by_zone.size(); ++target)
              all_tries += moment.tries_by_zone[target],
                  tries_by_zone += target == zone ? moment.tries_by_zone[target] : 0;
      parts += fmt::format(" {:.3f}", all_tries > 0 ? tries_by_zone / all_tries : 0);
    }
    std::printf("%s\n", fmt::format("  share of {} by 10 s:{}", day.zones[zone], parts).c_str());
  }
  row(
      "worst 10 s, mean of the runs",
      [&] {
        double sum = 0;
        for (const double value : worst) sum += value;
        return sum / static_cast<double>(worst.size());
      }(),
      fmt::format("lowest {:.4f}", *std::min_element(worst.begin(), worst.end())));
  row("1 nobody to pick, s", unserved, fmt::format("of {:.1f}", day.unserved.seconds()));
  row("3 sent to a draining worker, s after", drain_overrun,
      fmt::format("of {:.1f}", day.drain_grace.seconds()));
  row("4 brought to a cold worker, times its capacity", cold_load,
      fmt::format("of {:.1f}", day.tip_multiple));
  row("5 lines waiting", waiting, fmt::format("of {:.0f}", day.backlog));
  row("crossings, of tries", tries > 0 ? static_cast<double>(crossings) / static_cast<double>(tries) : 0,
      fmt::format("{} tries, {} of them further ones", tries, further_tries));
  if (day.shared) {
    row("time without a leader, s, median", quantile(leaderless, 0.5),
        fmt::format("p99 {:.3f}, longest {:.3f}, of {}; lease {:.1f}", quantile(leaderless, 0.99),
                    quantile(leaderless, 1), leaderless.size(), day.lease.seconds()));
    row("stale-term orders obeyed", static_cast<double>(stale_orders),
        fmt::format("{} refused, {} takeovers, {} partially applied changes", refused_terms, takeovers,
                    partial_changes));
    row("bytes per second between controllers", static_cast<double>(cluster_bytes) / simulated,
        fmt::format("{} controllers", day.coordinators.size()));
  }
  double moved = 0;
  for (const auto& outcome : outcomes) moved += outcome->moved_load / static_cast<double>(outcomes.size());
  row("work moved from zone to zone, times all of it", moved, "by forwarders' tables");
  std::printf("%s", recovery_report(day, outcomes).c_str());
  std::printf("  runs with a broken rule: %llu\n", static_cast<unsigned long long>(broken));
  return broken == 0 ? kExitSuccess : kExitRuleViolated;
}

}  // namespace gorsemount::app

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

double quantile(std::vector<double> v, double part) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(part * static_cast<double>(v.size())))];
}

// Of a fault's beginning or end: how long till the service of three seconds is back at 0.98 of that of the
// ten before the first, and stays there till the next one.
std::string back_after(const script::Day& day, const std::vector<std::optional<lab::Outcome>>& outcomes) {
  std::vector<std::pair<double, double>> seconds;
  for (const auto& o : outcomes) {
    seconds.resize(std::max(seconds.size(), o->by_second.size()));
    for (std::size_t k = 0; k < o->by_second.size(); ++k)
      seconds[k].first += o->by_second[k].first, seconds[k].second += o->by_second[k].second;
  }
  std::vector<std::pair<double, std::string>> events;
  for (const auto& t : day.troubles)
    events.emplace_back(t.at.seconds(), t.name),
        events.emplace_back((t.at + t.lasts).seconds(), t.name + " is over");
  std::sort(events.begin(), events.end());
  const double end = (day.length - day.settle).seconds();
  const auto service = [&](double from, double to) {
    double asked = 0, in_time = 0;
    for (auto k = static_cast<std::size_t>(std::max(0.0, from));
         k < std::min(seconds.size(), static_cast<std::size_t>(to)); ++k)
      asked += seconds[k].first, in_time += seconds[k].second;
    return asked > 0 ? in_time / asked : 1;
  };
  std::string text;
  if (events.empty() || events.front().first < 3) return text;
  const double before = service(events.front().first - 10, events.front().first);
  for (std::size_t k = 0; k < events.size(); ++k) {
    const double from = events[k].first,
                 to = std::min(end, k + 1 < events.size() ? events[k + 1].first : end);
    double back = 0;
    for (double t = from; t + 3 <= to; ++t)
      if (service(t, t + 3) < 0.98 * before) back = t + 3 - from;
    if (to - from >= 3)
      text += fmt::format("  back at 0.98 of before ({:.3f}) after {:<24} {:>5}\n", before, events[k].second,
                          back + 3 > to - from ? "never" : fmt::format("{:.0f} s", back));
  }
  return text;
}

}  // namespace

int simulate(const SimulateOptions& o) {
  config::Findings findings;
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(o.day, faults);
  const script::Day day = faults.empty() ? script::read_day(text, o.day, findings) : script::Day{};
  faults.insert(faults.end(), findings.faults.begin(), findings.faults.end());
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", f.text().c_str());
  if (!faults.empty()) return kExitInvalidConfig;
  const std::map<std::string, lab::DecisionMakerKind> deciders{
      {"module", lab::DecisionMakerKind::policy},
      {"equal", lab::DecisionMakerKind::fixed_weights},
      {"zone-local", lab::DecisionMakerKind::zone_local},
      {"oracle", lab::DecisionMakerKind::oracle}};
  std::vector<lab::Override> changes;
  try {
    for (const auto& change : o.changes) changes.push_back(lab::read_override(change));
    for (std::size_t n = 1; n <= day.coordinators.size(); ++n)
      static_cast<void>(lab::settings_for(day, n, "", changes));  // faults now
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "gorsemount: %s\n", fault.what());
    return kExitInvalidConfig;
  }
  std::vector<std::optional<lab::Outcome>> outcomes(static_cast<std::size_t>(o.seeds));
  std::atomic<std::size_t> next = 0;
  const auto began = std::chrono::steady_clock::now();
  std::mutex printing;
  const auto work = [&] {
    for (std::size_t k = next++; k < outcomes.size(); k = next++) {
      lab::SimulationSettings s;
      s.seed = o.first + k, s.random_faults = o.faults, s.fencing = o.fences, s.keep_store = o.keeps;
      s.decision_maker = deciders.at(o.by);
      s.settings = [&](std::size_t n) { return lab::settings_for(day, n, "", changes); };
      s.clock_drift = o.faults > 0 ? 0.01 : 0;
      outcomes[k] = lab::Simulation{day, std::move(s)}.run();
      const std::lock_guard lock{printing};
      for (const auto& rule : outcomes[k]->broken_rules(day))
        std::printf("  BROKEN  seed %llu: %s\n", static_cast<unsigned long long>(o.first + k), rule.c_str());
      std::fflush(stdout);
    }
  };
  std::vector<std::thread> threads;
  for (int k = 1; k < o.jobs; ++k) threads.emplace_back(work);
  work();
  for (auto& t : threads) t.join();
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  std::vector<double> service, worst, unled;
  double bare = 0, drained = 0, cold = 0, waiting = 0;
  std::uint64_t broken = 0, lower = 0, refused = 0, takeovers = 0, half = 0, bytes = 0, tries = 0,
                crossings = 0, further = 0;
  for (const auto& r : outcomes) {
    service.push_back(r->whole.service()), worst.push_back(r->worst_ten_seconds());
    unled.insert(unled.end(), r->leaderless_times.begin(), r->leaderless_times.end());
    bare = std::max(bare, r->longest_unserved), drained = std::max(drained, r->longest_send_after_drain),
    cold = std::max(cold, r->worst_cold_overload);
    waiting = std::max(waiting, r->most_waiting_lines), broken += r->broken_rules(day).empty() ? 0 : 1,
    lower += r->stale_terms_accepted;
    refused += r->stale_terms_rejected, takeovers += r->takeovers, half += r->partial_batches,
        bytes += r->cluster_bytes;
    tries += r->tries, crossings += r->cross_zone_tries, further += r->retries;
  }
  const double mean = [&] {
    double sum = 0;
    for (const double v : service) sum += v;
    return sum / static_cast<double>(service.size());
  }();
  const double simulated = day.length.seconds() * static_cast<double>(o.seeds);
  std::printf("%s\n", fmt::format("{} runs of {:.0f} s, {:.1f} simulated seconds a second", o.seeds,
                                  day.length.seconds(), simulated / took)
                          .c_str());
  const auto row = [](const char* what, double value, const std::string& more) {
    std::printf("%s\n", fmt::format("  {:<46} {:>10.4f}  {}", what, value, more).c_str());
  };
  row("service, mean of the runs", mean,
      fmt::format("lowest {:.4f}", *std::min_element(service.begin(), service.end())));
  lab::Tally all;
  for (const auto& r : outcomes) all.add(r->whole);
  const auto part = [&](std::uint64_t n) {
    return 100 * static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(1, all.invocations));
  };
  std::printf(
      "%s\n",
      fmt::format("  of invocations: late {:.2f}%, errored {:.2f}%, rate-limited {:.2f}%, no line {:.2f}%",
                  part(all.late), part(all.errored), part(all.rate_limited), part(all.no_line))
          .c_str());
  std::vector<lab::Tally> tens;
  for (const auto& r : outcomes) {
    tens.resize(std::max(tens.size(), r->by_ten_seconds.size()));
    for (std::size_t k = 0; k < r->by_ten_seconds.size(); ++k) tens[k].add(r->by_ten_seconds[k]);
  }
  std::string by_ten_seconds;
  for (const auto& t : tens) by_ten_seconds += fmt::format(" {:.3f}", t.service());
  std::printf("  service by 10 s:%s\n", by_ten_seconds.c_str());
  for (std::size_t z = 0; z < day.zones.size(); ++z) {
    std::string parts;
    for (std::size_t ten = 0; ten * 10 < static_cast<std::size_t>(day.length.seconds()); ++ten) {
      double own = 0, every = 0;
      for (const auto& r : outcomes)
        for (const auto& m : r->samples)
          if (m.at > 10.0 * static_cast<double>(ten) && m.at <= 10.0 * static_cast<double>(ten + 1))
            for (std::size_t y = 0; y < m.tries_by_zone.size(); ++y)
              every += m.tries_by_zone[y], own += y == z ? m.tries_by_zone[y] : 0;
      parts += fmt::format(" {:.3f}", every > 0 ? own / every : 0);
    }
    std::printf("%s\n", fmt::format("  part of {} by 10 s:{}", day.zones[z], parts).c_str());
  }
  row(
      "worst 10 s, mean of the runs",
      [&] {
        double sum = 0;
        for (const double v : worst) sum += v;
        return sum / static_cast<double>(worst.size());
      }(),
      fmt::format("lowest {:.4f}", *std::min_element(worst.begin(), worst.end())));
  row("1 nobody to pick, s", bare, fmt::format("of {:.1f}", day.unserved.seconds()));
  row("3 sent to a draining worker, s after", drained, fmt::format("of {:.1f}", day.drain_grace.seconds()));
  row("4 brought to a cold worker, times its capacity", cold, fmt::format("of {:.1f}", day.tip_multiple));
  row("5 lines waiting", waiting, fmt::format("of {:.0f}", day.backlog));
  row("crossings, of tries", tries > 0 ? static_cast<double>(crossings) / static_cast<double>(tries) : 0,
      fmt::format("{} tries, {} of them further ones", tries, further));
  if (day.shared) {
    row("unled, s, middle", quantile(unled, 0.5),
        fmt::format("p99 {:.3f}, longest {:.3f}, of {}; lease {:.1f}", quantile(unled, 0.99),
                    quantile(unled, 1), unled.size(), day.lease.seconds()));
    row("orders of a lower term obeyed", static_cast<double>(lower),
        fmt::format("{} refused, {} take-overs, {} changes cut in two", refused, takeovers, half));
    row("bytes a second between controllers", static_cast<double>(bytes) / simulated,
        fmt::format("{} controllers", day.coordinators.size()));
  }
  double moved = 0;
  for (const auto& r : outcomes) moved += r->moved_load / static_cast<double>(outcomes.size());
  row("work moved from zone to zone, times all of it", moved, "by forwarders' tables");
  std::printf("%s", back_after(day, outcomes).c_str());
  std::printf("  runs with a broken rule: %llu\n", static_cast<unsigned long long>(broken));
  return broken == 0 ? kExitSuccess : kExitRuleViolated;
}

}  // namespace gorsemount::app

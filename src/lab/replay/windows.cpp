#include "lab/replay/windows.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <stdexcept>
#include <thread>

namespace gorsemount::lab {

namespace {

// A reduced share is held for at most 80 s and recovers within 120 s (docs/store.md). Later, a fault has no
// more effect.
const Span kAfterEffects = Span::seconds(80 + 120);
// A single window gives no estimate of the variance within its stratum.
constexpr std::size_t kMinWindowsPerStratum = 2;

double rate_at(const script::Day& day, Span at) {
  double rate = 1;
  for (const auto& p : day.phases)
    if (p.at <= at) rate = p.rate;
  return rate;
}

bool is_eventful(const script::Day& day, Span from, Span to) {
  const auto overlaps = [&](Span at, Span lasts) { return at < to && at + lasts + kAfterEffects > from; };
  for (const auto& t : day.troubles)
    if (overlaps(t.at, t.lasts)) return true;
  for (const auto& k : day.kills)
    if (overlaps(k.at, k.lasts)) return true;
  for (const auto& p : day.phases)
    if (p.at > from && p.at < to) return true;
  return false;
}

Tally scaled(const Tally& t, double by) {
  const auto n = [by](std::uint64_t k) {
    return static_cast<std::uint64_t>(std::llround(static_cast<double>(k) * by));
  };
  return {t.offered_value * by, t.value_in_time * by, n(t.invocations), n(t.succeeded), n(t.late),
          n(t.errored),         n(t.rate_limited),    n(t.no_line)};
}

}  // namespace

std::vector<Window> plan_windows(const script::Day& day, const WindowPlan& plan) {
  const Span end = day.length - day.settle;
  std::vector<Window> all;
  std::map<double, std::vector<std::size_t>> quiet;  // by rate
  for (Span from; from < end; from = from + plan.length) {
    const Span to = std::min(end, from + plan.length);
    const bool eventful = is_eventful(day, from, to);
    if (eventful && !all.empty() && all.back().eventful) {
      all.back().to = to;
      continue;
    }
    if (!eventful) quiet[rate_at(day, from)].push_back(all.size());
    all.push_back({from, to, eventful, 0, 1});
  }
  std::mt19937 chance{static_cast<std::uint32_t>(plan.seed)};
  std::vector<bool> kept(all.size(), true);
  std::size_t stratum = 0;
  for (auto& [rate, places] : quiet) {
    ++stratum;
    const auto wanted =
        std::max(kMinWindowsPerStratum,
                 static_cast<std::size_t>(std::ceil(plan.part * static_cast<double>(places.size()))));
    const std::size_t n = std::min(wanted, places.size());
    const double stands_for = static_cast<double>(places.size()) / static_cast<double>(n);
    std::shuffle(places.begin(), places.end(), chance);
    for (std::size_t k = 0; k < places.size(); ++k) {
      kept[places[k]] = k < n;
      all[places[k]].stratum = stratum, all[places[k]].stands_for = stands_for;
    }
  }
  std::vector<Window> played;
  for (std::size_t k = 0; k < all.size(); ++k)
    if (kept[k]) played.push_back(all[k]);
  return played;
}

script::Day window_day(const script::Day& day, const Window& w, Span warm) {
  script::Day piece = day;
  const Span start = w.from > warm ? w.from - warm : Span{}, end = w.to + day.settle;
  piece.length = end - start;
  piece.phases.clear(), piece.troubles.clear(), piece.kills.clear();
  piece.phases.push_back({"window", Span{}, rate_at(day, start)});
  for (auto p : day.phases)
    if (p.at > start && p.at < end) p.at = p.at - start, piece.phases.push_back(p);
  const auto shifted = [&](auto it) {
    if (it.at < start) it.lasts = it.lasts - (start - it.at), it.at = start;
    it.at = it.at - start;
    return it;
  };
  const auto within = [&](const auto& it) { return it.at < end && it.at + it.lasts > start; };
  for (const auto& t : day.troubles)
    if (within(t)) piece.troubles.push_back(shifted(t));
  for (const auto& k : day.kills)
    if (within(k)) piece.kills.push_back(shifted(k));
  return piece;
}

script::Day scaled_down(const script::Day& day, int times) {
  script::Day thin = day;
  const auto divide = [times](int& n, const std::string& what) {
    if (n == 0) return;
    if (n < times)
      throw std::runtime_error{fmt::format("{} are {}: too few to divide by {}", what, n, times)};
    n = static_cast<int>(std::lround(static_cast<double>(n) / times));
  };
  for (auto& w : thin.workers) divide(w.count, "workers of " + w.zone);
  for (auto& c : thin.clients) divide(c.count, "clients of " + c.zone), c.disobedient /= times;
  for (auto& f : thin.forwarders)
    divide(f.count, "forwarders of " + f.zone), divide(f.clients, "callers of forwarders of " + f.zone);
  for (auto& t : thin.troubles)
    if (t.count > 0)
      t.count = std::max(1, static_cast<int>(std::lround(static_cast<double>(t.count) / times)));
  thin.fleet_rate /= times, thin.backlog /= times, thin.lines_per_second /= times;
  return thin;
}

Difference ratio_estimate(const std::vector<SampledWindow>& rows) {
  Difference d;
  double value = 0, asked = 0;
  for (const auto& r : rows) value += r.stands_for * r.value, asked += r.stands_for * r.asked;
  if (asked <= 0) return d;
  d.mean = value / asked;
  std::map<std::size_t, std::vector<const SampledWindow*>> strata;
  for (const auto& r : rows) strata[r.stratum].push_back(&r);
  double variance = 0;
  std::size_t degrees = 0;
  for (const auto& [stratum, in] : strata) {
    const double n = static_cast<double>(in.size()), all = n * in.front()->stands_for;
    if (all - n < 0.5) continue;  // all windows were simulated
    double mean = 0, square = 0;
    for (const auto* r : in) mean += (r->value - d.mean * r->asked) / n;
    for (const auto* r : in) square += std::pow(r->value - d.mean * r->asked - mean, 2);
    variance += all * all * (1 - n / all) * square / (n - 1) / n;
    degrees += in.size() - 1;
  }
  const double half = degrees > 0 ? student_t95(degrees) * std::sqrt(variance) / asked : 0;
  d.low = d.mean - half, d.high = d.mean + half;
  return d;
}

WindowedDay run_windows(const script::Day& day, const std::vector<Variant>& variants, const WindowPlan& plan,
                        int jobs, const SimulationSettings& simulation,
                        const std::function<void(double)>& progress) {
  WindowedDay result;
  result.windows = plan_windows(day, plan);
  result.whole = day.length;
  const std::size_t n = result.windows.size(), runs = n * variants.size();
  std::vector<std::vector<std::optional<Outcome>>> outcomes(variants.size(),
                                                            std::vector<std::optional<Outcome>>(n));
  for (const auto& v : variants)
    for (std::size_t k = 1; k <= day.coordinators.size(); ++k)
      static_cast<void>(
          settings_for(day, k, v.config, v.changes));  // reports invalid settings before the first run
  std::vector<script::Day> pieces;
  for (const auto& w : result.windows)
    pieces.push_back(window_day(day, w, plan.warm)), result.played = result.played + pieces.back().length;
  std::atomic<std::size_t> next = 0, done = 0;
  std::mutex progress_lock;
  const auto work = [&] {
    for (std::size_t k = next++; k < runs; k = next++) {
      const std::size_t v = k % variants.size(), w = k / variants.size();
      SimulationSettings s = simulation;
      s.seed = simulation.seed * 100'003 + w;  // each window has its own seed, shared by all variants
      s.warm_up = std::min(plan.warm, result.windows[w].from);
      s.settings = [&day, &variant = variants[v]](std::size_t c) {
        return settings_for(day, c, variant.config, variant.changes);
      };
      Outcome o = Simulation{pieces[w], std::move(s)}.run();
      o.samples.clear(), o.latency.clear();  // saves memory; the report doesn't use them
      outcomes[v][w] = std::move(o);
      const std::lock_guard lock{progress_lock};
      progress(static_cast<double>(++done) / static_cast<double>(runs));
    }
  };
  std::vector<std::thread> threads;
  for (int k = 1; k < jobs; ++k) threads.emplace_back(work);
  work();
  for (auto& t : threads) t.join();
  for (std::size_t v = 0; v < variants.size(); ++v) {
    VariantEstimate out;
    out.name = variants[v].name;
    out.by_operation.resize(day.operations.size()), out.by_zone.resize(day.zones.size());
    std::vector<SampledWindow> services, differences;
    std::map<std::string, int> broken;
    for (std::size_t w = 0; w < n; ++w) {
      const Outcome& o = *outcomes[v][w];
      const Window& window = result.windows[w];
      out.whole.add(scaled(o.whole, window.stands_for));
      for (std::size_t k = 0; k < o.by_operation.size(); ++k)
        out.by_operation[k].add(scaled(o.by_operation[k], window.stands_for));
      for (std::size_t k = 0; k < o.by_zone.size(); ++k)
        out.by_zone[k].add(scaled(o.by_zone[k], window.stands_for));
      out.worst_ten_seconds = std::min(out.worst_ten_seconds, o.worst_ten_seconds());
      services.push_back({window.stratum, window.stands_for, o.whole.value_in_time, o.whole.offered_value});
      differences.push_back({window.stratum, window.stands_for,
                             o.whole.value_in_time - outcomes[0][w]->whole.value_in_time,
                             o.whole.offered_value});
      for (const auto& rule : o.broken_rules(pieces[w])) ++broken[rule];
    }
    out.service = ratio_estimate(services), out.against_first = ratio_estimate(differences);
    for (const auto& [rule, times] : broken)
      out.broken.push_back(fmt::format("{} (in {} of {} windows)", rule, times, n));
    result.variants.push_back(std::move(out));
  }
  return result;
}

std::string text_report(const script::Day& day, const WindowedDay& d) {
  std::size_t eventful = 0;
  for (const auto& w : d.windows) eventful += w.eventful ? 1 : 0;
  std::string text = fmt::format(
      "{} windows, {} of them eventful; {:.0f} s played, warm-up included, for {:.0f} s of the "
      "day\n{:<34}",
      d.windows.size(), eventful, d.played.seconds(), d.whole.seconds(), "");
  for (const auto& v : d.variants) text += fmt::format(" {:>19}", v.name.substr(0, 19));
  const auto row = [&](const std::string& what, auto value) {
    text += fmt::format("\n  {:<32}", what.substr(0, 32));
    for (const auto& v : d.variants) text += fmt::format(" {:>19}", value(v));
  };
  row("service", [](const VariantEstimate& v) { return fmt::format("{:.5f}", v.service.mean); });
  row("  95% interval, of the windows", [](const VariantEstimate& v) {
    return fmt::format("{:.5f} to {:.5f}", v.service.low, v.service.high);
  });
  row("worst 10 s of those played",
      [](const VariantEstimate& v) { return fmt::format("{:.5f}", v.worst_ten_seconds); });
  for (std::size_t k = 0; k < day.operations.size(); ++k)
    row("service of " + day.operations[k].name,
        [&](const VariantEstimate& v) { return fmt::format("{:.5f}", v.by_operation[k].service()); });
  for (std::size_t k = 0; k < day.zones.size(); ++k)
    row("service of " + day.zones[k],
        [&](const VariantEstimate& v) { return fmt::format("{:.5f}", v.by_zone[k].service()); });
  const auto lost = [&](const char* what, std::uint64_t Tally::*count) {
    row(std::string{"lost: "} + what, [&](const VariantEstimate& v) {
      return fmt::format("{:.3f}%", 100.0 * static_cast<double>(v.whole.*count) /
                                        static_cast<double>(std::max<std::uint64_t>(1, v.whole.invocations)));
    });
  };
  lost("late", &Tally::late), lost("errored", &Tally::errored), lost("rate-limited", &Tally::rate_limited),
      lost("no line", &Tally::no_line);
  row("rules broken", [](const VariantEstimate& v) { return std::to_string(v.broken.size()); });
  if (d.variants.size() > 1) {
    row("differs from the first", [&](const VariantEstimate& v) {
      return &v == &d.variants[0] ? "-" : fmt::format("{:+.5f}", v.against_first.mean);
    });
    row("  95% interval", [&](const VariantEstimate& v) {
      return &v == &d.variants[0] ? "-"
                                  : fmt::format("{:+.5f} {:+.5f}", v.against_first.low, v.against_first.high);
    });
  }
  text += "\n";
  for (const auto& v : d.variants)
    for (const auto& rule : v.broken) text += fmt::format("  BROKEN under {}: {}\n", v.name, rule);
  return text;
}

}  // namespace gorsemount::lab

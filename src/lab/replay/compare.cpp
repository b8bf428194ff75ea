#include "lab/replay/compare.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <mutex>
#include <thread>

namespace gorsemount::lab {

namespace {

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text)
    out += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : c == '"' ? "&quot;" : std::string{c};
  return out;
}

// Lines that differ by dashes and not by colour, so that they can be told apart in print.
struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};
std::string plot(const std::string& title, const std::string& x_name, const std::vector<Series>& series,
                 double y_most) {
  constexpr double kWide = 720, kHigh = 220, kLeft = 52, kBelow = 36;
  constexpr std::array<const char*, 6> dashes{"", "7 4", "2 3", "10 3 2 3", "1 5", "14 5"};
  double x_most = 1e-9;
  for (const auto& s : series)
    for (const auto& [x, y] : s.points) x_most = std::max(x_most, x), y_most = std::max(y_most, y);
  const auto at_x = [&](double x) { return kLeft + x / x_most * (kWide - kLeft - 150); };
  const auto at_y = [&](double y) { return 10 + (1 - y / std::max(1e-9, y_most)) * (kHigh - kBelow - 10); };
  std::string svg =
      fmt::format("<h3>{}</h3><svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"{}\" width=\"{}\">",
                  escaped(title), kWide, kHigh, escaped(title), kWide);
  for (int k = 0; k <= 4; ++k) {
    const double y = y_most * k / 4;
    svg += fmt::format(
        "<line x1=\"{:.0f}\" x2=\"{:.0f}\" y1=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"#ccc\"/><text x=\"{:.0f}\" "
        "y=\"{:.1f}\" text-anchor=\"end\">{:.3g}</text>",
        kLeft, kWide - 150, at_y(y), at_y(y), kLeft - 6, at_y(y) + 4, y);
  }
  for (int k = 0; k <= 4; ++k)
    svg += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" text-anchor=\"middle\">{:.3g}</text>",
                       at_x(x_most * k / 4), kHigh - 18, x_most * k / 4);
  svg += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" text-anchor=\"middle\">{}</text>",
                     (kLeft + kWide - 150) / 2, kHigh - 3, escaped(x_name));
  for (std::size_t k = 0; k < series.size(); ++k) {
    std::string points;
    for (const auto& [x, y] : series[k].points) points += fmt::format("{:.1f},{:.1f} ", at_x(x), at_y(y));
    const char* dash = dashes[k % dashes.size()];
    svg += fmt::format(
        "<polyline fill=\"none\" stroke=\"#000\" stroke-width=\"1.6\" stroke-dasharray=\"{}\" "
        "points=\"{}\"/>",
        dash, points);
    const double y = 20 + 18 * static_cast<double>(k);
    svg += fmt::format(
        "<line x1=\"{0:.0f}\" x2=\"{1:.0f}\" y1=\"{2:.0f}\" y2=\"{2:.0f}\" stroke=\"#000\" "
        "stroke-width=\"1.6\" stroke-dasharray=\"{3}\"/><text x=\"{4:.0f}\" y=\"{5:.0f}\">{6}</text>",
        kWide - 142, kWide - 112, y, dash, kWide - 106, y + 4, escaped(series[k].name));
  }
  return svg + "</svg>\n";
}

}  // namespace

double t95(std::size_t degrees) {
  constexpr std::array<double, 11> few{0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23};
  return degrees < few.size() ? few[degrees] : degrees < 30 ? 2.09 : 1.96;
}

std::vector<Played> run_variants(const script::Day& day, const std::vector<Variant>& variants, int seeds,
                                 int jobs, const SimulationSettings& world,
                                 const std::function<void(double)>& progress) {
  std::vector<Played> all;
  for (const auto& v : variants) {
    for (std::size_t n = 1; n <= day.coordinators.size(); ++n)
      static_cast<void>(settings_for(day, n, v.config, v.changes));  // faults now
    all.push_back({v.name, std::vector<Outcome>(static_cast<std::size_t>(seeds)), {}, {}, {}, {}, 1, {}});
  }
  const std::size_t runs = variants.size() * static_cast<std::size_t>(seeds);
  std::atomic<std::size_t> next = 0, done = 0;
  std::mutex telling;
  const auto work = [&] {
    for (std::size_t k = next++; k < runs; k = next++) {
      const std::size_t v = k % variants.size(), seed = k / variants.size();
      SimulationSettings s = world;
      s.seed = world.seed + seed;
      s.settings = [&day, &variant = variants[v]](std::size_t n) {
        return settings_for(day, n, variant.config, variant.changes);
      };
      all[v].outcomes[seed] = Simulation{day, std::move(s)}.run();
      const std::lock_guard lock{telling};
      progress(static_cast<double>(++done) / static_cast<double>(runs));
    }
  };
  std::vector<std::thread> threads;
  for (int k = 1; k < jobs; ++k) threads.emplace_back(work);
  work();
  for (auto& t : threads) t.join();
  for (auto& p : all) {
    std::map<std::string, int> broken;
    for (const auto& o : p.outcomes) {
      p.whole.add(o.whole);
      const auto add = [](std::vector<Tally>& to, const std::vector<Tally>& from) {
        to.resize(std::max(to.size(), from.size()));
        for (std::size_t k = 0; k < from.size(); ++k) to[k].add(from[k]);
      };
      add(p.by_operation, o.by_operation), add(p.by_zone, o.by_zone), add(p.by_ten_seconds, o.by_ten_seconds);
      for (const auto& rule : o.broken_rules(day)) ++broken[rule];
    }
    for (const auto& t : p.by_ten_seconds)
      if (t.offered_value > 0) p.worst_ten_seconds = std::min(p.worst_ten_seconds, t.service());
    for (const auto& [rule, n] : broken)
      p.broken.push_back(fmt::format("{} (in {} of {} runs)", rule, n, seeds));
  }
  return all;
}

Difference difference(const Played& a, const Played& b) {
  std::vector<double> d;
  for (std::size_t k = 0; k < a.outcomes.size(); ++k)
    d.push_back(b.outcomes[k].whole.service() - a.outcomes[k].whole.service());
  Difference out;
  for (const double v : d) out.mean += v / static_cast<double>(d.size());
  if (d.size() < 2) {
    out.low = -1, out.high = 1;  // one run proves nothing
    return out;
  }
  double square = 0;
  for (const double v : d) square += (v - out.mean) * (v - out.mean);
  const double half = t95(d.size() - 1) *
                      std::sqrt(square / static_cast<double>(d.size() - 1) / static_cast<double>(d.size()));
  out.low = out.mean - half, out.high = out.mean + half;
  return out;
}

std::string text_report(const script::Day& day, const std::vector<Played>& played) {
  std::string text = fmt::format("{:<34}", "");
  for (const auto& p : played) text += fmt::format(" {:>16}", p.name.substr(0, 16));
  const auto row = [&](const std::string& what, auto value) {
    text += fmt::format("\n  {:<32}", what.substr(0, 32));
    for (const auto& p : played) text += fmt::format(" {:>16}", value(p));
  };
  const auto f = [](double v) { return fmt::format("{:.5f}", v); };
  row("service", [&](const Played& p) { return f(p.whole.service()); });
  row("worst 10 s", [&](const Played& p) { return f(p.worst_ten_seconds); });
  for (std::size_t k = 0; k < day.operations.size(); ++k)
    row("service of " + day.operations[k].name,
        [&](const Played& p) { return f(p.by_operation[k].service()); });
  for (std::size_t k = 0; k < day.zones.size(); ++k)
    row("service of " + day.zones[k], [&](const Played& p) { return f(p.by_zone[k].service()); });
  const auto lost = [&](const char* what, std::uint64_t Tally::*n) {
    row(std::string{"lost: "} + what, [&](const Played& p) {
      return fmt::format("{:.3f}%", 100.0 * static_cast<double>(p.whole.*n) /
                                        static_cast<double>(std::max<std::uint64_t>(1, p.whole.invocations)));
    });
  };
  lost("late", &Tally::late), lost("errored", &Tally::errored), lost("rate-limited", &Tally::rate_limited),
      lost("no line", &Tally::no_line);
  const auto worst = [&](const std::string& what, double Outcome::*v) {
    row(what, [&](const Played& p) {
      double most = 0;
      for (const auto& o : p.outcomes) most = std::max(most, o.*v);
      return fmt::format("{:.3f}", most);
    });
  };
  worst(fmt::format("1 nobody to pick, of {:.1f} s", day.unserved.seconds()), &Outcome::longest_unserved);
  worst(fmt::format("3 after a drain, of {:.1f} s", day.drain_grace.seconds()),
        &Outcome::longest_send_after_drain);
  worst(fmt::format("4 on a cold one, of {:.1f}", day.tip_multiple), &Outcome::worst_cold_overload);
  worst(fmt::format("5 lines waiting, of {:.0f}", day.backlog), &Outcome::most_waiting_lines);
  row("rules broken", [&](const Played& p) { return std::to_string(p.broken.size()); });
  if (played.size() > 1) {
    row("differs from the first", [&](const Played& p) {
      return &p == &played[0] ? std::string{"-"} : fmt::format("{:+.5f}", difference(played[0], p).mean);
    });
    row("  95% interval", [&](const Played& p) {
      if (&p == &played[0] || p.outcomes.size() < 2) return std::string{"-"};
      const auto d = difference(played[0], p);
      return fmt::format("{:+.4f} {:+.4f}", d.low, d.high);
    });
  }
  text += "\n";
  for (const auto& p : played)
    for (const auto& rule : p.broken) text += fmt::format("  BROKEN under {}: {}\n", p.name, rule);
  return text;
}

std::string html_report(const script::Day& day, const std::vector<Played>& played,
                        const std::string& remark) {
  std::string html = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" + escaped(day.name) +
                     "</title><style>body{font:14px sans-serif;max-width:60em;margin:2em auto;color:#000}svg "
                     "text{font-size:11px}pre{overflow:auto}</style>";
  html += "<h1>" + escaped(day.name) + "</h1>";
  if (!remark.empty()) html += "<p><strong>" + escaped(remark) + "</strong></p>";
  html += "<pre>" + escaped(text_report(day, played)) + "</pre>";
  std::vector<Series> service;
  for (const auto& p : played) {
    Series s{p.name, {}};
    for (std::size_t k = 0; k < p.by_ten_seconds.size(); ++k)
      if (p.by_ten_seconds[k].offered_value > 0)
        s.points.emplace_back(10 * static_cast<double>(k) + 5, p.by_ten_seconds[k].service());
    service.push_back(std::move(s));
  }
  html += plot("Service by 10 s", "s", service, 1);
  for (const auto& p : played) {
    const Outcome& first = p.outcomes.front();
    std::vector<Series> weights, tries;
    for (std::size_t z = 0; z < day.zones.size(); ++z) {
      Series w{day.zones[z], {}}, t{day.zones[z], {}};
      for (const auto& m : first.samples)
        w.points.emplace_back(m.at, m.weight_by_zone[z]), t.points.emplace_back(m.at, m.tries_by_zone[z]);
      weights.push_back(std::move(w)), tries.push_back(std::move(t));
    }
    html += plot("Weights by zone, " + p.name + ", first seed", "s", weights, 0) +
            plot("Invocations a second by zone, " + p.name, "s", tries, 0);
    std::size_t worst = 0;
    for (std::size_t k = 0; k < first.by_ten_seconds.size(); ++k)
      if (first.by_ten_seconds[k].offered_value > 0 &&
          first.by_ten_seconds[k].service() < first.by_ten_seconds[worst].service())
        worst = k;
    html += fmt::format("<h3>What was said around the worst 10 s ({} to {} s), {}</h3><pre>", 10 * worst,
                        10 * worst + 10, escaped(p.name));
    for (const auto& m : first.samples)
      if (m.at >= 10.0 * static_cast<double>(worst) - 3 && m.at <= 10.0 * static_cast<double>(worst) + 10)
        for (const auto& n : m.warnings) html += fmt::format("{:6.1f} s  {}\n", m.at, escaped(n));
    html += "</pre>";
  }
  return html + "</html>\n";
}

}  // namespace gorsemount::lab

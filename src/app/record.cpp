#include "app/record.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

#include "app/exit_codes.hpp"
#include "config/settings.hpp"
#include "lab/replay/compare.hpp"
#include "lab/replay/fit.hpp"
#include "lab/replay/step_replay.hpp"
#include "lab/replay/windows.hpp"
#include "record/tools.hpp"
#include "standins/records.hpp"

namespace gorsemount::app {

namespace {

void progress(double part) {
  if (isatty(STDERR_FILENO) != 0) std::fprintf(stderr, "\r%3.0f%%%s", 100 * part, part >= 1 ? "\n" : "");
}

std::string text_of(const std::string& file) {
  std::vector<hcl::Fault> faults;
  auto text = config::read_file(file, faults);
  if (!faults.empty()) throw std::runtime_error{faults.front().text()};
  return text;
}

Span span_of(const char* option, const std::string& text) {
  const auto span = config::parse_span(text);
  if (!span || *span < Span::seconds(1))
    throw std::runtime_error{
        fmt::format("{} {}: expected a span of a second or more, such as 10m", option, text)};
  return *span;
}

void save(const std::string& file, const std::string& text) {
  std::ofstream out{file, std::ios::binary | std::ios::trunc};
  if (!(out << text) || !out.flush()) throw std::runtime_error{file + ": can't be written"};
}

// What the stand-ins of a loopback day wrote, beside the recording of a coordinator of that day.
record::Recording import(const std::string& folder, const std::string& coordinator) {
  record::Recording r;
  if (!coordinator.empty()) r = record::read(coordinator);
  std::map<std::string, std::uint16_t> workers, proxies;
  std::map<std::string, std::uint8_t> operations;
  struct Open {
    std::int64_t came = 0;
    std::uint8_t operation = 0, tries = 0;
    std::uint16_t proxy = 0, worker = 65535;
  };
  std::map<std::string, Open> open;
  std::map<std::string, std::string> place;
  const auto number = [](auto& numbers, std::vector<std::string>& names, const std::string& name) {
    const auto [it, fresh] = numbers.try_emplace(
        name, static_cast<typename std::decay_t<decltype(numbers)>::mapped_type>(names.size()));
    if (fresh) names.push_back(name);
    return it->second;
  };
  const std::map<std::string, record::Outcome> outcomes{{"succeeded", record::Outcome::succeeded},
                                                        {"late", record::Outcome::late},
                                                        {"errored", record::Outcome::errored},
                                                        {"rate_limited", record::Outcome::limited},
                                                        {"no_line", record::Outcome::no_line}};
  for (const auto& e : standins::read_records(folder)) {
    if (e.what == "asked") {
      const std::string id = e.text("id");
      open[id] = {e.t, number(operations, r.operations, e.text("operation")), 0,
                  number(proxies, r.proxies, id.substr(0, id.rfind('-'))), 65535};
    } else if (e.what == "arrived") {
      if (const auto it = open.find(e.text("id")); it != open.end())
        ++it->second.tries, it->second.worker = number(workers, r.workers, e.text("worker"));
    } else if (e.what == "done") {
      const auto it = open.find(e.text("id"));
      const auto outcome = outcomes.find(e.text("outcome"));
      if (it == open.end() || outcome == outcomes.end()) continue;
      const Open& o = it->second;
      r.invocations.push_back({o.came, static_cast<std::uint32_t>(e.t - o.came), o.operation,
                               static_cast<std::uint8_t>(outcome->second), o.tries, o.proxy, o.worker});
      open.erase(it);
    }
  }
  for (const auto& [id, o] : open)
    r.invocations.push_back({o.came, 0, o.operation, static_cast<std::uint8_t>(record::Outcome::open),
                             o.tries, o.proxy, o.worker});
  std::stable_sort(r.invocations.begin(), r.invocations.end(),
                   [](const auto& a, const auto& b) { return a.came < b.came; });
  if (r.invocations.empty()) throw std::runtime_error{folder + ": holds no records of invocations"};
  return r;
}

}  // namespace

int record(const RecordOptions& o) {
  try {
    if (o.action == "import") {
      auto r = import(o.file, o.other);
      if (r.header.day.empty()) {
        std::vector<hcl::Fault> faults;
        const auto text = config::read_file(o.file + "/day.hcl", faults);
        if (faults.empty()) r.header.day = text;
      }
      record::write(r, o.out);
      std::printf("%s", record::info(record::read(o.out), o.out).c_str());
      return kExitSuccess;
    }
    const auto r = record::read(o.file);
    if (o.action == "info") {
      std::printf("%s", record::info(r, o.file).c_str());
    } else if (o.action == "verify") {
      const auto wrong = record::verify(r, progress);
      for (const auto& w : wrong) std::printf("%s: %s\n", o.file.c_str(), w.c_str());
      if (r.cut) std::printf("%s: cut off; whole up to its last row\n", o.file.c_str());
      if (!wrong.empty()) return kExitInvalidConfig;
      std::printf("%s: good, %zu steps, %zu invocations\n", o.file.c_str(), r.steps.size(),
                  r.invocations.size());
    } else if (o.action == "cut") {
      record::write(record::cut(r, o.from, o.to), o.out);
    } else if (o.action == "merge") {
      const auto m = record::merge(r, record::read(o.other));
      record::write(m.recording, o.out);
      std::printf("%s: the second one's clock is %+.6f s off, by %zu workers that differ by up to %.6f s\n",
                  o.out.c_str(), m.offset, m.common, m.spread);
    } else {
      const auto text = record::export_as(r, o.form, o.table);
      if (o.out.empty()) {
        std::fwrite(text.data(), 1, text.size(), stdout);
      } else {
        save(o.out, text);
      }
    }
    return kExitSuccess;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "gorsemount: %s\n", fault.what());
    return kExitInvalidConfig;
  }
}

int replay(const ReplayOptions& o) {
  try {
    if (!o.window.empty() && !(o.page.empty() && o.out.empty()))
      throw std::runtime_error{"--page and --out are of whole days: leave out --window"};
    const bool scripted = o.day.ends_with(".hcl");
    record::Recording recording;
    lab::FittedDay fitted;
    if (scripted) {
      config::Findings findings;
      fitted.day = script::read_day(text_of(o.day), o.day, findings);
      fitted.scripted = true;
      if (!findings.faults.empty()) throw std::runtime_error{findings.faults.front().text()};
    } else {
      recording = record::read(o.day);
      if (o.same) {
        const auto same = lab::replay_steps(recording);
        std::printf("%zu of %zu steps ordered the same\n", same.compared - (same.difference.empty() ? 0 : 1),
                    recording.steps.size());
        if (!same.stopped.empty()) std::printf("  not further: %s\n", same.stopped.c_str());
        if (!same.difference.empty()) std::printf("  %s\n", same.difference.c_str());
        return same.difference.empty() && same.compared > 0 ? kExitSuccess : kExitRuleViolated;
      }
      fitted = lab::fit(recording);
    }
    if (o.thin > 1) fitted.day = lab::scaled_down(fitted.day, o.thin);
    for (const auto& e : fitted.estimates)
      std::printf("%s\n", fmt::format("  estimated: {} {:.4g}, likely {:.4g} to {:.4g} ({})", e.what, e.value,
                                      e.low, e.high, e.how)
                              .c_str());
    for (const auto& u : fitted.assumptions) std::printf("  not recorded: %s\n", u.c_str());
    std::vector<lab::Variant> variants{{"as recorded", "", {}}};
    if (!o.config.empty()) variants[0] = {"A " + o.config[0], text_of(o.config[0]), {}};
    for (std::size_t k = 1; k < o.config.size(); ++k)
      variants.push_back({"B " + o.config[k], text_of(o.config[k]), {}});
    if (!o.changes.empty()) {
      lab::Variant b = variants.back();
      b.name = o.changes.front();
      for (const auto& change : o.changes) b.changes.push_back(lab::read_override(change));
      variants.push_back(std::move(b));
    }
    if (!o.sweep.empty()) {
      const auto first = lab::read_override(o.sweep);
      std::istringstream values{first.value};
      for (std::string value; std::getline(values, value, ',');) {
        lab::Variant v = variants.front();
        v.name = first.name + "=" + value, v.changes.push_back({first.block, first.name, value});
        variants.push_back(std::move(v));
      }
    }
    lab::SimulationSettings world;
    world.seed = o.first, world.list_completions = !recording.invocations.empty() || !o.out.empty();
    std::string remark;
    if (!recording.invocations.empty()) {
      const auto played = lab::run_variants(fitted.day, {variants.front()}, 1, 1, world, [](double) {});
      const auto c = lab::calibrate(recording, fitted.day, played[0].outcomes[0]);
      std::printf("%s\n", fmt::format("Calibration: the recorded day beside the world's under the recorded "
                                      "settings\n  {:<40} {:>10} {:>10} {:>9}",
                                      "", "recorded", "played", "differs")
                              .c_str());
      for (const auto& row : c.rows)
        std::printf("%s\n", fmt::format("  {:<40} {:>10.4f} {:>10.4f} {:>+9.4f}", row.what, row.recorded,
                                        row.played, row.played - row.recorded)
                                .c_str());
      if (!c.matched())
        remark = fmt::format(
            "NOT MATCHED: the played day differs from the recorded one by {:.3f} of the service count (bound "
            "0.03) and {:.3f} of a zone's part (bound 0.1)",
            c.service_error, c.zone_error);
      std::printf("  %s\n", remark.empty() ? "matched" : remark.c_str());
    }
    world.list_completions = !o.out.empty();
    if (!o.window.empty()) {
      const auto played = lab::run_windows(
          fitted.day, variants, {span_of("--window", o.window), span_of("--warm", o.warm), o.part, o.first},
          o.jobs, world, progress);
      std::printf("%s", lab::text_report(fitted.day, played).c_str());
      if (!remark.empty()) std::printf("  %s\n", remark.c_str());
      return std::any_of(played.variants.begin(), played.variants.end(),
                         [](const auto& v) { return !v.broken.empty(); })
                 ? kExitRuleViolated
                 : kExitSuccess;
    }
    const auto played = lab::run_variants(fitted.day, variants, o.seeds, o.jobs, world, progress);
    std::printf("%s", lab::text_report(fitted.day, played).c_str());
    if (!o.sweep.empty())
      for (std::size_t k = 1; k < played.size(); ++k)
        std::printf(
            "%s\n",
            fmt::format(
                "  {:<24} {:.5f} {}", played[k].name, played[k].whole.service(),
                std::string(static_cast<std::size_t>(std::max(0.0, 60 * played[k].whole.service())), '#'))
                .c_str());
    if (!remark.empty()) std::printf("  %s\n", remark.c_str());
    if (!o.page.empty()) save(o.page, lab::html_report(fitted.day, played, remark));
    if (!o.out.empty())
      record::write(lab::recording_of(fitted.day, scripted ? text_of(o.day) : recording.header.day,
                                      played[0].outcomes[0]),
                    o.out);
    return std::any_of(played.begin(), played.end(), [](const auto& p) { return !p.broken.empty(); })
               ? kExitRuleViolated
               : kExitSuccess;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "gorsemount: %s\n", fault.what());
    return kExitInvalidConfig;
  }
}

}  // namespace gorsemount::app

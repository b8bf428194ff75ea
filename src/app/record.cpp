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

void progress(double fraction) {
  if (isatty(STDERR_FILENO) != 0)
    std::fprintf(stderr, "\r%3.0f%%%s", 100 * fraction, fraction >= 1 ? "\n" : "");
}

std::string read_text(const std::string& file) {
  std::vector<hcl::Fault> faults;
  auto text = config::read_file(file, faults);
  if (!faults.empty()) throw std::runtime_error{faults.front().text()};
  return text;
}

Span parse_duration(const char* option, const std::string& text) {
  const auto span = config::parse_span(text);
  if (!span || *span < Span::seconds(1))
    throw std::runtime_error{
        fmt::format("{} {}: expected a duration of one second or more, such as 10m", option, text)};
  return *span;
}

void write_file(const std::string& file, const std::string& text) {
  std::ofstream out{file, std::ios::binary | std::ios::trunc};
  if (!(out << text) || !out.flush()) throw std::runtime_error{file + ": can't be written"};
}

// Builds a recording from the records of a day on loopback, added to a coordinator's recording of that day if
// one is named.
record::Recording import(const std::string& folder, const std::string& coordinator) {
  record::Recording recording;
  if (!coordinator.empty()) recording = record::read(coordinator);
  std::map<std::string, std::uint16_t> workers, proxies;
  std::map<std::string, std::uint8_t> operations;
  struct PendingInvocation {
    std::int64_t came = 0;
    std::uint8_t operation = 0, tries = 0;
    std::uint16_t proxy = 0, worker = 65535;
  };
  std::map<std::string, PendingInvocation> pending;
  std::map<std::string, std::string> place;
  const auto assign_id = [](auto& ids, std::vector<std::string>& names, const std::string& name) {
    const auto [found, inserted] =
        ids.try_emplace(name, static_cast<typename std::decay_t<decltype(ids)>::mapped_type>(names.size()));
    if (inserted) names.push_back(name);
    return found->second;
  };
  const std::map<std::string, record::Outcome> outcomes{{"succeeded", record::Outcome::succeeded},
                                                        {"late", record::Outcome::late},
                                                        {"errored", record::Outcome::errored},
                                                        {"rate_limited", record::Outcome::limited},
                                                        {"no_line", record::Outcome::no_line}};
  for (const auto& entry : standins::read_records(folder)) {
    if (entry.what == "asked") {
      const std::string id = entry.text("id");
      pending[id] = {entry.t, assign_id(operations, recording.operations, entry.text("operation")), 0,
                     assign_id(proxies, recording.proxies, id.substr(0, id.rfind('-'))), 65535};
    } else if (entry.what == "arrived") {
      if (const auto found = pending.find(entry.text("id")); found != pending.end())
        ++found->second.tries,
            found->second.worker = assign_id(workers, recording.workers, entry.text("worker"));
    } else if (entry.what == "done") {
      const auto found = pending.find(entry.text("id"));
      const auto outcome = outcomes.find(entry.text("outcome"));
      if (found == pending.end() || outcome == outcomes.end()) continue;
      const PendingInvocation& invocation = found->second;
      recording.invocations.push_back({invocation.came, static_cast<std::uint32_t>(entry.t - invocation.came),
                                       invocation.operation, static_cast<std::uint8_t>(outcome->second),
                                       invocation.tries, invocation.proxy, invocation.worker});
      pending.erase(found);
    }
  }
  for (const auto& [id, invocation] : pending)
    recording.invocations.push_back({invocation.came, 0, invocation.operation,
                                     static_cast<std::uint8_t>(record::Outcome::open), invocation.tries,
                                     invocation.proxy, invocation.worker});
  std::stable_sort(recording.invocations.begin(), recording.invocations.end(),
                   [](const auto& a, const auto& b) { return a.came < b.came; });
  if (recording.invocations.empty())
    throw std::runtime_error{folder + ": contains no records of invocations"};
  return recording;
}

}  // namespace

int record(const RecordOptions& options) {
  try {
    if (options.action == "import") {
      auto recording = import(options.file, options.second_file);
      if (recording.header.day.empty()) {
        std::vector<hcl::Fault> faults;
        const auto text = config::read_file(options.file + "/day.hcl", faults);
        if (faults.empty()) recording.header.day = text;
      }
      record::write(recording, options.output_file);
      std::printf("%s", record::info(record::read(options.output_file), options.output_file).c_str());
      return kExitSuccess;
    }
    const auto recording = record::read(options.file);
    if (options.action == "info") {
      std::printf("%s", record::info(recording, options.file).c_str());
    } else if (options.action == "verify") {
      const auto problems = record::verify(recording, progress);
      for (const auto& problem : problems) std::printf("%s: %s\n", options.file.c_str(), problem.c_str());
      if (recording.cut) std::printf("%s: truncated; complete up to its last row\n", options.file.c_str());
      if (!problems.empty()) return kExitInvalidConfig;
      std::printf("%s: valid, %zu steps, %zu invocations\n", options.file.c_str(), recording.steps.size(),
                  recording.invocations.size());
    } else if (options.action == "cut") {
      record::write(record::cut(recording, options.from_seconds, options.to_seconds), options.output_file);
    } else if (options.action == "merge") {
      const auto merged = record::merge(recording, record::read(options.second_file));
      record::write(merged.recording, options.output_file);
      std::printf(
          "%s: the second recording's clock is off by %+.6f s, estimated from %zu workers that differ by up "
          "to %.6f s\n",
          options.output_file.c_str(), merged.offset, merged.common, merged.spread);
    } else {
      const auto text = record::export_as(recording, options.format, options.table);
      if (options.output_file.empty()) {
        std::fwrite(text.data(), 1, text.size(), stdout);
      } else {
        write_file(options.output_file, text);
      }
    }
    return kExitSuccess;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gorsemount: %s\n", error.what());
    return kExitInvalidConfig;
  }
}

int replay(const ReplayOptions& options) {
  try {
    if (!options.window.empty() && !(options.html_file.empty() && options.output_file.empty()))
      throw std::runtime_error{"--page and --out apply to whole days and can't be combined with --window"};
    const bool scripted = options.day.ends_with(".hcl");
    record::Recording recording;
    lab::FittedDay fitted;
    if (scripted) {
      config::Findings findings;
      fitted.day = script::read_day(read_text(options.day), options.day, findings);
      fitted.scripted = true;
      if (!findings.faults.empty()) throw std::runtime_error{findings.faults.front().text()};
    } else {
      recording = record::read(options.day);
      if (options.check_determinism) {
        const auto comparison = lab::replay_steps(recording);
        std::printf("%zu of %zu steps gave identical orders\n",
                    comparison.compared - (comparison.difference.empty() ? 0 : 1), recording.steps.size());
        if (!comparison.stopped.empty()) std::printf("  stopped early: %s\n", comparison.stopped.c_str());
        if (!comparison.difference.empty()) std::printf("  %s\n", comparison.difference.c_str());
        return comparison.difference.empty() && comparison.compared > 0 ? kExitSuccess : kExitRuleViolated;
      }
      fitted = lab::fit(recording);
    }
    if (options.thinning_factor > 1) fitted.day = lab::scaled_down(fitted.day, options.thinning_factor);
    for (const auto& estimate : fitted.estimates)
      std::printf("%s\n", fmt::format("  estimated: {} {:.4g}, likely {:.4g} to {:.4g} ({})", estimate.what,
                                      estimate.value, estimate.low, estimate.high, estimate.how)
                              .c_str());
    for (const auto& unknown : fitted.assumptions) std::printf("  not recorded: %s\n", unknown.c_str());
    std::vector<lab::Variant> variants{{"as recorded", "", {}}};
    if (!options.config.empty()) variants[0] = {"A " + options.config[0], read_text(options.config[0]), {}};
    for (std::size_t index = 1; index < options.config.size(); ++index)
      variants.push_back({"B " + options.config[index], read_text(options.config[index]), {}});
    if (!options.changes.empty()) {
      lab::Variant variant = variants.back();
      variant.name = options.changes.front();
      for (const auto& change : options.changes) variant.changes.push_back(lab::read_override(change));
      variants.push_back(std::move(variant));
    }
    if (!options.sweep.empty()) {
      const auto swept = lab::read_override(options.sweep);
      std::istringstream values{swept.value};
      for (std::string value; std::getline(values, value, ',');) {
        lab::Variant variant = variants.front();
        variant.name = swept.name + "=" + value, variant.changes.push_back({swept.block, swept.name, value});
        variants.push_back(std::move(variant));
      }
    }
    lab::SimulationSettings simulation;
    simulation.seed = options.first_seed,
    simulation.list_completions = !recording.invocations.empty() || !options.output_file.empty();
    std::string warning;
    if (!recording.invocations.empty()) {
      const auto played = lab::run_variants(fitted.day, {variants.front()}, 1, 1, simulation, [](double) {});
      const auto calibration = lab::calibrate(recording, fitted.day, played[0].outcomes[0]);
      std::printf(
          "%s\n",
          fmt::format("Calibration: the recorded day compared with the simulated one under the recorded "
                      "settings\n  {:<40} {:>10} {:>10} {:>9}",
                      "", "recorded", "played", "differs")
              .c_str());
      for (const auto& row : calibration.rows)
        std::printf("%s\n", fmt::format("  {:<40} {:>10.4f} {:>10.4f} {:>+9.4f}", row.what, row.recorded,
                                        row.played, row.played - row.recorded)
                                .c_str());
      if (!calibration.matched())
        warning = fmt::format(
            "NOT MATCHED: the played day differs from the recorded one by {:.3f} in service (bound "
            "0.03) and {:.3f} in a zone's share (bound 0.1)",
            calibration.service_error, calibration.zone_error);
      std::printf("  %s\n", warning.empty() ? "matched" : warning.c_str());
    }
    simulation.list_completions = !options.output_file.empty();
    if (!options.window.empty()) {
      const auto played =
          lab::run_windows(fitted.day, variants,
                           {parse_duration("--window", options.window),
                            parse_duration("--warm", options.warmup), options.fraction, options.first_seed},
                           options.jobs, simulation, progress);
      std::printf("%s", lab::text_report(fitted.day, played).c_str());
      if (!warning.empty()) std::printf("  %s\n", warning.c_str());
      return std::any_of(played.variants.begin(), played.variants.end(),
                         [](const auto& variant) { return !variant.broken.empty(); })
                 ? kExitRuleViolated
                 : kExitSuccess;
    }
    const auto played =
        lab::run_variants(fitted.day, variants, options.seeds, options.jobs, simulation, progress);
    std::printf("%s", lab::text_report(fitted.day, played).c_str());
    if (!options.sweep.empty())
      for (std::size_t index = 1; index < played.size(); ++index)
        std::printf(
            "%s\n",
            fmt::format(
                "  {:<24} {:.5f} {}", played[index].name, played[index].whole.service(),
                std::string(static_cast<std::size_t>(std::max(0.0, 60 * played[index].whole.service())), '#'))
                .c_str());
    if (!warning.empty()) std::printf("  %s\n", warning.c_str());
    if (!options.html_file.empty())
      write_file(options.html_file, lab::html_report(fitted.day, played, warning));
    if (!options.output_file.empty())
      record::write(lab::recording_of(fitted.day, scripted ? read_text(options.day) : recording.header.day,
                                      played[0].outcomes[0]),
                    options.output_file);
    return std::any_of(played.begin(), played.end(), [](const auto& p) { return !p.broken.empty(); })
               ? kExitRuleViolated
               : kExitSuccess;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gorsemount: %s\n", error.what());
    return kExitInvalidConfig;
  }
}

}  // namespace gorsemount::app

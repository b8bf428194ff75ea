// The program `gorsemount-standin`: the workers and clients of one fleet, and the auditor.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "config/settings.hpp"
#include "standins/auditor.hpp"
#include "standins/play.hpp"

int main(int argc, char** argv) {
  using namespace gorsemount;
  CLI::App app{"Stand-ins on loopback for gorsemount's workers and clients", "gorsemount-standin"};
  app.require_subcommand(1);
  standins::PlayOptions options;
  std::string file;
  std::int64_t start = 0;
  auto* play = app.add_subcommand("play", "play the workers and clients of a day");
  play->add_option("DAY", file, "the day (HCL)")->required();
  play->add_option("--folder", options.folder, "where records and the roster go")->required();
  play->add_option("--octet", options.places.octet, "second byte of the loopback addresses")
      ->check(CLI::Range(10, 200));
  play->add_option("--start", start, "when the day begins, microseconds of the monotonic clock")->required();
  play->add_flag("--show", options.show, "a live line of weights by zone");
  auto* judge = app.add_subcommand("audit", "judge a folder's records by a day's rules");
  judge->add_option("DAY", file, "the day (HCL)")->required();
  judge->add_option("--folder", options.folder, "where the records are")->required();
  CLI11_PARSE(app, argc, argv);

  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(file, faults);
  config::Findings findings;
  const auto day = standins::read_day(text, file, findings);
  faults.insert(faults.end(), findings.faults.begin(), findings.faults.end());
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", f.text().c_str());
  if (!faults.empty()) return 2;
  try {
    if (*play) {
      options.start = Instant{} + Span::micros(start);
      standins::play(day, options);
      return 0;
    }
    const auto result = standins::audit(day, standins::read_records(options.folder));
    for (const auto& v : result.verdicts)
      std::printf("%-34s %s %.3f of %.3f %s %s\n", v.rule.c_str(), v.kept ? "kept" : "BROKEN", v.worst,
                  v.limit, v.unit.c_str(), v.detail.c_str());
    return result.kept() ? 0 : 1;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "gorsemount-standin: %s\n", fault.what());
    return 4;
  }
}

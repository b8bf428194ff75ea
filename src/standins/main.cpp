// The program `gorsemount-standin`: runs the workers, forwarders and clients of one fleet, and the auditor.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "config/settings.hpp"
#include "standins/auditor.hpp"
#include "standins/play.hpp"

namespace {

int run(int argc, char** argv) {
  using namespace gorsemount;
  CLI::App app{"Loopback stand-ins for gorsemount's workers, forwarders and clients", "gorsemount-standin"};
  app.require_subcommand(1);
  standins::PlayOptions options;
  std::string file;
  std::int64_t start = 0;
  auto* play = app.add_subcommand("play", "run the workers, forwarders and clients of a scenario");
  play->add_option("DAY", file, "the scenario file (HCL)")->required();
  play->add_option("--folder", options.folder, "output folder for the records and the roster")->required();
  play->add_option("--octet", options.addresses.octet, "second byte of the loopback addresses")
      ->check(CLI::Range(10, 200));
  play->add_option("--start", start, "start of the scenario, in microseconds of the monotonic clock")
      ->required();
  play->add_flag("--show", options.show, "print the weights by zone once a second");
  auto* judge = app.add_subcommand("audit", "check a folder's records against the rules of a scenario");
  judge->add_option("DAY", file, "the scenario file (HCL)")->required();
  judge->add_option("--folder", options.folder, "folder of the records")->required();
  CLI11_PARSE(app, argc, argv);

  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(file, faults);
  config::Findings findings;
  const auto day = standins::read_day(text, file, findings);
  faults.insert(faults.end(), findings.faults.begin(), findings.faults.end());
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", f.text().c_str());
  if (!faults.empty()) return 2;
  if (*play) {
    options.start = Instant{} + Span::micros(start);
    standins::play(day, options);
    return 0;
  }
  const auto result = standins::audit(day, standins::read_records(options.folder));
  for (const auto& v : result.verdicts)
    std::printf("%-34s %s %.3f of %.3f %s %s\n", v.rule.c_str(), v.kept ? "kept" : "BROKEN", v.worst, v.limit,
                v.unit.c_str(), v.detail.c_str());
  return result.kept() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gorsemount-standin: %s\n", error.what());
    return 4;
  }
}

// All subcommands except `coordinator`. The operators' build has only that one and leaves this file out.
#include "app/commands.hpp"

#include "app/ctl.hpp"
#include "app/day.hpp"
#include "app/record.hpp"
#include "app/serve.hpp"
#include "app/simulate.hpp"
#include "app/store.hpp"

namespace gorsemount::app {

namespace {

struct Options {
  ServeOptions serve_options;
  std::string file;
  CtlOptions ctl_options;
  DayOptions day_options;
  bool no_baseline = false;
  SimulateOptions simulate_options;
  bool no_fence = false;
  RecordOptions record_options;
  ReplayOptions replay_options;
  StoreOptions store_options;
};

}  // namespace

std::shared_ptr<void> add_commands(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<Options>();

  auto& serve_options = options->serve_options;
  auto* serve_command =
      app.add_subcommand("serve", "run a coordinator until SIGTERM; SIGHUP reloads the settings");
  serve_command->add_option("CONFIG", serve_options.config, "settings (HCL)")->required();
  serve_command->add_flag("--fixed-weights", serve_options.fixed_weights,
                          "use the listed weights instead of the policy, as a baseline");
  serve_command->callback([&] { exit_code = serve(serve_options); });

  auto& file = options->file;
  auto* check_command = app.add_subcommand("check", "check the settings and their roster file");
  check_command->add_option("CONFIG", file, "settings (HCL)")->required();
  check_command->callback([&] { exit_code = check(file); });
  auto* explain_command =
      app.add_subcommand("explain-config", "print all effective settings and the source of each");
  explain_command->add_option("CONFIG", file, "settings (HCL)")->required();
  explain_command->callback([&] { exit_code = explain_config(file); });

  auto& ctl_options = options->ctl_options;
  auto* ctl_command = app.add_subcommand("ctl", "send a command to a running coordinator");
  ctl_command->add_option("SOCKET", ctl_options.socket,
                          "operators' socket: a path, or ADDRESS:PORT with --token-file");
  ctl_command->add_option("COMMAND", ctl_options.words,
                          "the command; without one, read commands from standard input");
  ctl_command->add_option("--token-file", ctl_options.token_file, "the token for a TCP socket");
  ctl_command->add_flag("--complete", ctl_options.complete,
                        "print the commands that start with COMMAND, for shell completion");
  ctl_command->callback([&] { exit_code = ctl(ctl_options); });

  auto& day_options = options->day_options;
  auto& no_baseline = options->no_baseline;
  auto* day_command = app.add_subcommand("day", "play a scripted day on loopback and check the rules");
  day_command->add_option("DAY", day_options.day, "the day (HCL)")->required();
  day_command->add_option("--folder", day_options.folder, "folder for records, settings and logs");
  day_command->add_flag("--no-baseline", no_baseline, "skip the parallel run under fixed weights");
  day_command->add_option("--set", day_options.changes,
                          "override a value of the coordinators' settings: block.name=value");
  day_command->add_flag("--quiet", day_options.quiet, "no progress line");
  day_command->add_option("--octet", day_options.octet, "second byte of the loopback addresses")
      ->check(CLI::Range(10, 180));
  day_command->callback([&] {
    day_options.baseline = !no_baseline;
    exit_code = day(day_options);
  });

  auto& simulate_options = options->simulate_options;
  auto& no_fence = options->no_fence;
  auto* simulate_command =
      app.add_subcommand("simulate", "run a scripted day on a virtual clock with many seeds");
  simulate_command->add_option("DAY", simulate_options.day, "the day (HCL)")->required();
  simulate_command->add_option("--first,--seed", simulate_options.first_seed, "the first seed");
  simulate_command->add_option("--seeds", simulate_options.seeds, "number of seeds")
      ->check(CLI::Range(1, 100000));
  simulate_command->add_option("--jobs", simulate_options.jobs, "runs in parallel")->check(CLI::Range(1, 64));
  simulate_command
      ->add_option("--faults", simulate_options.fault_count,
                   "random faults among the controllers in each run")
      ->check(CLI::Range(0, 1000));
  simulate_command->add_flag("--no-fence", no_fence, "forwarders accept orders of any term");
  simulate_command->add_option("--by", simulate_options.decider, "decision maker")
      ->check(CLI::IsMember({"module", "equal", "zone-local", "oracle"}));
  simulate_command->add_option("--set", simulate_options.changes,
                               "override a value of the coordinators' settings: block.name=value");
  simulate_command->add_flag("--keeps", simulate_options.durable,
                             "a restarted coordinator recovers its stored facts");
  simulate_command->callback([&] {
    simulate_options.fencing = !no_fence;
    exit_code = simulate(simulate_options);
  });

  auto& record_options = options->record_options;
  auto* record_command = app.add_subcommand("record", "inspect and transform recordings");
  record_command->require_subcommand(1);
  const auto add_record_command = [&](const char* name, const char* description) {
    auto* subcommand = record_command->add_subcommand(name, description);
    subcommand
        ->add_option("FILE", record_options.file,
                     std::string{name} == "import" ? "the folder of a day" : "a recording")
        ->required();
    subcommand->callback([&, name] {
      record_options.action = name;
      exit_code = record(record_options);
    });
    return subcommand;
  };
  add_record_command("info", "summarize a recording and its gaps");
  add_record_command("verify", "verify checksums, inputs and digests");
  auto* cut_command = add_record_command("cut", "extract a range, in seconds from the beginning");
  cut_command->add_option("--from", record_options.from_seconds),
      cut_command->add_option("--to", record_options.to_seconds);
  cut_command->add_option("--out", record_options.output_file)->required();
  auto* merge_command = add_record_command("merge", "merge the recordings of two coordinators of one day");
  merge_command->add_option("OTHER", record_options.second_file)->required();
  merge_command->add_option("--out", record_options.output_file)->required();
  auto* export_command = add_record_command("export", "export for other tools");
  export_command->add_option("--as", record_options.format)->check(CLI::IsMember({"csv", "jsonl"}));
  export_command->add_option("--table", record_options.table)->check(CLI::IsMember({"invocations", "steps"}));
  export_command->add_option("--out", record_options.output_file, "output file; default: standard output");
  auto* import_command = add_record_command("import", "import the records of a day on loopback");
  import_command->add_option("--coordinator", record_options.second_file,
                             "a coordinator's recording of that day");
  import_command->add_option("--out", record_options.output_file)->required();

  auto& replay_options = options->replay_options;
  auto* replay_command =
      app.add_subcommand("replay", "replay a day or a recording under its own and other settings");
  replay_command->add_option("DAY", replay_options.day, "a day (.hcl) or a recording")->required();
  replay_command->add_option("--config,--against", replay_options.config,
                             "settings files: the baseline, then those compared with it");
  replay_command->add_option("--set", replay_options.changes, "override a value: block.name=value");
  replay_command->add_option("--sweep", replay_options.sweep, "try several values: block.name=v1,v2,...");
  replay_command->add_option("--seeds", replay_options.seeds)->check(CLI::Range(1, 100000));
  replay_command->add_option("--first", replay_options.first_seed, "the first seed");
  replay_command->add_option("--jobs", replay_options.jobs)->check(CLI::Range(1, 64));
  replay_command->add_option("--page", replay_options.html_file, "write an HTML report to this file");
  replay_command->add_option("--out", replay_options.output_file,
                             "write the first run as a recording to this file");
  replay_command->add_option("--window", replay_options.window,
                             "play a long day in windows of this duration, such as 10m");
  replay_command->add_option("--warm", replay_options.warmup,
                             "warm-up before each window, excluded from the results");
  replay_command
      ->add_option("--part", replay_options.fraction, "fraction of the windows without events to play")
      ->check(CLI::Range(0.001, 1.0));
  replay_command
      ->add_option("--thin", replay_options.thinning_factor, "scale the whole fleet down by this factor")
      ->check(CLI::Range(1, 1000));
  replay_command->add_flag("--same", replay_options.check_determinism,
                           "step the recorded inputs again and check that the orders are identical");
  replay_command->callback([&] { exit_code = replay(replay_options); });

  auto& store_options = options->store_options;
  auto* store_command = app.add_subcommand("store", "inspect the facts that a coordinator stores on disk");
  store_command->require_subcommand(1);
  for (const auto& [name, description] :
       {std::pair{"show", "print the facts and how far each is trusted now"},
        {"verify", "verify every record of both generations"},
        {"export", "print the facts as JSON lines"},
        {"forget", "delete all facts; refused while a coordinator runs"}}) {
    auto* subcommand = store_command->add_subcommand(name, description);
    subcommand->add_option("FOLDER", store_options.folder)->required();
    subcommand->add_option("--of", store_options.owner, "the coordinator's name");
    subcommand->add_option("--key-file", store_options.key_file);
    subcommand->callback([&, action = std::string{name}] {
      store_options.action = action;
      exit_code = store_tool(store_options);
    });
  }
  return options;
}

}  // namespace gorsemount::app

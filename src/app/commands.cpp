// All subcommands but `coordinator`, which the operators' build has alone.
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
  ServeOptions serving;
  std::string file;
  CtlOptions asking;
  DayOptions playing;
  bool no_baseline = false;
  SimulateOptions simulating;
  bool no_fence = false;
  RecordOptions recording;
  ReplayOptions replaying;
  StoreOptions storing;
};

}  // namespace

std::shared_ptr<void> add_commands(CLI::App& app, int& code) {
  const auto held = std::make_shared<Options>();

  auto& serving = held->serving;
  auto* serve_command =
      app.add_subcommand("serve", "run a coordinator until SIGTERM; SIGHUP reloads the settings");
  serve_command->add_option("CONFIG", serving.config, "settings (HCL)")->required();
  serve_command->add_flag("--fixed-weights", serving.fixed, "listed weights, no decisions: to compare with");
  serve_command->callback([&] { code = serve(serving); });

  auto& file = held->file;
  auto* check_command = app.add_subcommand("check", "check settings and the roster that they name");
  check_command->add_option("CONFIG", file, "settings (HCL)")->required();
  check_command->callback([&] { code = check(file); });
  auto* explain_command =
      app.add_subcommand("explain-config", "print all values in force and where each came from");
  explain_command->add_option("CONFIG", file, "settings (HCL)")->required();
  explain_command->callback([&] { code = explain_config(file); });

  auto& asking = held->asking;
  auto* ctl_command = app.add_subcommand("ctl", "ask a running coordinator, or order it");
  ctl_command->add_option("SOCKET", asking.socket,
                          "its operators' socket: a path, or ADDRESS:PORT with --token-file");
  ctl_command->add_option("COMMAND", asking.words, "the command; none: read commands from standard input");
  ctl_command->add_option("--token-file", asking.token_file, "the token for a TCP socket");
  ctl_command->add_flag("--complete", asking.complete,
                        "print the commands that begin with COMMAND, for a shell's completion");
  ctl_command->callback([&] { code = ctl(asking); });

  auto& playing = held->playing;
  auto& no_baseline = held->no_baseline;
  auto* day_command = app.add_subcommand("day", "play a scripted day on loopback and judge the rules");
  day_command->add_option("DAY", playing.day, "the day (HCL)")->required();
  day_command->add_option("--folder", playing.folder, "keep records, settings and logs here");
  day_command->add_flag("--no-baseline", no_baseline, "do not play it under fixed weights beside");
  day_command->add_option("--set", playing.changes,
                          "one value of the coordinators' settings in place of another: block.name=value");
  day_command->add_flag("--quiet", playing.quiet, "no live line");
  day_command->add_option("--octet", playing.octet, "second byte of the loopback addresses")
      ->check(CLI::Range(10, 180));
  day_command->callback([&] {
    playing.baseline = !no_baseline;
    code = day(playing);
  });

  auto& simulating = held->simulating;
  auto& no_fence = held->no_fence;
  auto* simulate_command =
      app.add_subcommand("simulate", "play a scripted day under the virtual clock, over many seeds");
  simulate_command->add_option("DAY", simulating.day, "the day (HCL)")->required();
  simulate_command->add_option("--first,--seed", simulating.first, "the first seed");
  simulate_command->add_option("--seeds", simulating.seeds, "how many")->check(CLI::Range(1, 100000));
  simulate_command->add_option("--jobs", simulating.jobs, "so many at a time")->check(CLI::Range(1, 64));
  simulate_command
      ->add_option("--faults", simulating.faults, "random faults among the controllers, in each run")
      ->check(CLI::Range(0, 1000));
  simulate_command->add_flag("--no-fence", no_fence, "forwarders take orders under any term");
  simulate_command->add_option("--by", simulating.by, "what decides")
      ->check(CLI::IsMember({"module", "equal", "zone-local", "oracle"}));
  simulate_command->add_option(
      "--set", simulating.changes,
      "one value of the coordinators' settings in place of another: block.name=value");
  simulate_command->add_flag("--keeps", simulating.keeps,
                             "a restarted coordinator recalls what it had written");
  simulate_command->callback([&] {
    simulating.fences = !no_fence;
    code = simulate(simulating);
  });

  auto& recording = held->recording;
  auto* record_command = app.add_subcommand("record", "look at recordings, and make other ones of them");
  record_command->require_subcommand(1);
  const auto tool = [&](const char* name, const char* what) {
    auto* c = record_command->add_subcommand(name, what);
    c->add_option("FILE", recording.file, std::string{name} == "import" ? "a day's folder" : "a recording")
        ->required();
    c->callback([&, name] {
      recording.action = name;
      code = record(recording);
    });
    return c;
  };
  tool("info", "what a recording holds, and what it misses");
  tool("verify", "read all of it again: checksums, inputs, digests");
  auto* cut_command = tool("cut", "a part of it, in seconds from its beginning");
  cut_command->add_option("--from", recording.from), cut_command->add_option("--to", recording.to);
  cut_command->add_option("--out", recording.out)->required();
  auto* merge_command = tool("merge", "two coordinators' records of one day");
  merge_command->add_option("OTHER", recording.other)->required();
  merge_command->add_option("--out", recording.out)->required();
  auto* export_command = tool("export", "for other tools");
  export_command->add_option("--as", recording.form)->check(CLI::IsMember({"csv", "jsonl"}));
  export_command->add_option("--table", recording.table)->check(CLI::IsMember({"invocations", "steps"}));
  export_command->add_option("--out", recording.out, "a file; none: standard output");
  auto* import_command = tool("import", "what the stand-ins of a loopback day wrote");
  import_command->add_option("--coordinator", recording.other, "a coordinator's recording of that day");
  import_command->add_option("--out", recording.out)->required();

  auto& replaying = held->replaying;
  auto* replay_command =
      app.add_subcommand("replay", "a day or a recording under its own and under other settings");
  replay_command->add_option("DAY", replaying.day, "a day (.hcl) or a recording")->required();
  replay_command->add_option("--config,--against", replaying.config,
                             "settings files: the first, and those beside it");
  replay_command->add_option("--set", replaying.changes, "one value in place of another: block.name=value");
  replay_command->add_option("--sweep", replaying.sweep, "several: block.name=v1,v2,...");
  replay_command->add_option("--seeds", replaying.seeds)->check(CLI::Range(1, 100000));
  replay_command->add_option("--first", replaying.first, "the first seed");
  replay_command->add_option("--jobs", replaying.jobs)->check(CLI::Range(1, 64));
  replay_command->add_option("--page", replaying.page, "write a report in HTML");
  replay_command->add_option("--out", replaying.out, "write the first run as a recording");
  replay_command->add_option("--window", replaying.window,
                             "play a long day in windows of this length, such as 10m");
  replay_command->add_option("--warm", replaying.warm, "played before each window and not counted");
  replay_command->add_option("--part", replaying.part, "of the windows in which nothing happens")
      ->check(CLI::Range(0.001, 1.0));
  replay_command->add_option("--thin", replaying.thin, "so many times fewer of everything")
      ->check(CLI::Range(1, 1000));
  replay_command->add_flag("--same", replaying.same,
                           "step the recorded inputs again: the orders must be the same");
  replay_command->callback([&] { code = replay(replaying); });

  auto& storing = held->storing;
  auto* store_command = app.add_subcommand("store", "what a coordinator keeps on disk");
  store_command->require_subcommand(1);
  for (const auto& [name, what] : {std::pair{"show", "facts, and what each is worth now"},
                                   {"verify", "every record of both generations"},
                                   {"export", "facts as JSON lines"},
                                   {"forget", "all of it; not while a coordinator runs"}}) {
    auto* c = store_command->add_subcommand(name, what);
    c->add_option("FOLDER", storing.folder)->required();
    c->add_option("--of", storing.who, "the coordinator's name");
    c->add_option("--key-file", storing.key_file);
    c->callback([&, action = std::string{name}] {
      storing.action = action;
      code = store_tool(storing);
    });
  }
  return held;
}

}  // namespace gorsemount::app

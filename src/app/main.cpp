// The program `gorsemount`: subcommands and exit codes.
#include <CLI/CLI.hpp>
#include <string_view>

#ifdef GORSEMOUNT_ALL_COMMANDS
#include "app/commands.hpp"
#endif
#include "app/coordinator.hpp"
#include "app/exit_codes.hpp"

int main(int argc, char** argv) {
  using namespace gorsemount::app;
  if (argc > 1 && std::string_view{argv[1]} == "coordinator") hold_signals();
  CLI::App app{"gorsemount tells forwarders and DNS clients where work goes", "gorsemount"};
  app.require_subcommand(1);
  int code = kExitSuccess;

  auto* coordinator_command = app.add_subcommand("coordinator",
                                                 "run a coordinator on a platform that tells it all by "
                                                 "GW_CONFIG, until SIGTERM; SIGHUP reads that again");
  coordinator_command->callback([&] { code = coordinator(); });
#ifdef GORSEMOUNT_ALL_COMMANDS
  const auto held = add_commands(app, code);
#endif

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& fault) {
    return app.exit(fault) == 0 ? kExitSuccess : kExitUsageError;
  }
  return code;
}

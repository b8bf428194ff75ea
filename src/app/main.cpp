// Entry point of `gorsemount`: dispatches to the subcommands.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string_view>

#ifdef GORSEMOUNT_ALL_COMMANDS
#include "app/commands.hpp"
#endif
#include "app/coordinator.hpp"
#include "app/exit_codes.hpp"

namespace {

int run(int argc, char** argv) {
  using namespace gorsemount::app;
  if (argc > 1 && std::string_view{argv[1]} == "coordinator") block_signals();
  CLI::App app{"gorsemount directs forwarders and DNS clients to backends", "gorsemount"};
  app.require_subcommand(1);
  int exit_code = kExitSuccess;

  auto* coordinator_command = app.add_subcommand("coordinator",
                                                 "run a coordinator until SIGTERM, configured by the file "
                                                 "that GW_CONFIG names; SIGHUP reloads the file");
  coordinator_command->callback([&] { exit_code = coordinator(); });
#ifdef GORSEMOUNT_ALL_COMMANDS
  const auto command_options = add_commands(app, exit_code);
#endif

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitSuccess : kExitUsageError;
  }
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gorsemount: %s\n", error.what());
    return gorsemount::app::kExitFailure;
  }
}

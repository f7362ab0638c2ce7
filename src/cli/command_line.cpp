#include "src/cli/command_line.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "src/cli/browse_command.hpp"
#include "src/cli/check_config_command.hpp"
#include "src/cli/exit_status.hpp"
#include "src/cli/run_command.hpp"

namespace tulipyoke::cli {
namespace {

// Limits of the option --for.
constexpr double kMinBrowseSeconds = 0.1;
constexpr double kMaxBrowseSeconds = 86400;

void AddRunCommand(CLI::App& app, RunOptions& options) {
  app.add_option("--log", options.log_format, "format of the log; overrides the configuration")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_flag("--trace", options.trace,
               "log each step of each request; for debugging only, not for production");
  app.add_subcommand("run", "run the router with the configuration in LB_CONFIG (the default)");
}

CLI::App* AddCheckConfigCommand(CLI::App& app, std::string& file) {
  CLI::App* config = app.add_subcommand("config", "commands for the configuration")->require_subcommand(1);
  CLI::App* check =
      config->add_subcommand("check", "check whether the router could start with a configuration");
  check->add_option("FILE", file, "the configuration file")->required();
  return check;
}

CLI::App* AddBrowseCommand(CLI::App& app, BrowseOptions& options) {
  CLI::App* dns = app.add_subcommand("dns", "commands for DNS-SD sources")->require_subcommand(1);
  CLI::App* browse = dns->add_subcommand("browse", "show live how the router sees DNS-SD zones");
  CLI::Option* file = browse->add_option("FILE", options.file, "a configuration file with DNS-SD sources");
  browse->add_option("--source", options.source, "browse only this source of the file")->needs(file);
  CLI::Option* zone =
      browse->add_option("--zone", options.zone, "the zone to browse, such as derby.example.org")
          ->excludes(file);
  browse->add_option("--service", options.service, "the service type")->capture_default_str()->needs(zone);
  browse->add_option("--mode", options.mode, "how to query the zone: poll, serial or transfer")
      ->capture_default_str()
      ->check(CLI::IsMember({"poll", "serial", "transfer"}))
      ->needs(zone);
  browse->add_option("--resolver", options.resolvers, "IP address and port of a resolver; may be repeated")
      ->needs(zone);
  browse->add_option("--for", options.seconds, "how long to browse, in seconds")
      ->capture_default_str()
      ->check(CLI::Range(kMinBrowseSeconds, kMaxBrowseSeconds));
  browse->add_flag("--once", options.once, "stop as soon as all zones have been reported");
  return browse;
}

}  // namespace

int Main(int argc, const char* const* argv) {
  CLI::App app("A router for replicated readings servers.", "tulipyoke");
  app.set_version_flag("--version", TULIPYOKE_VERSION);
  app.require_subcommand(0, 1);
  RunOptions run_options;
  std::string file_to_check;
  BrowseOptions browse_options;
  AddRunCommand(app, run_options);
  const CLI::App* const check_config = AddCheckConfigCommand(app, file_to_check);
  const CLI::App* const browse = AddBrowseCommand(app, browse_options);
  CLI11_PARSE(app, argc, argv);

  if (*check_config) return CheckConfig(file_to_check, std::cout);
  if (!*browse) return Run(run_options);
  if (browse_options.file.empty() && browse_options.zone.empty()) {
    std::cerr << "tulipyoke dns browse requires FILE or --zone\n";
    return kExitFailure;
  }
  return BrowseDns(browse_options, std::cout);
}

}  // namespace tulipyoke::cli

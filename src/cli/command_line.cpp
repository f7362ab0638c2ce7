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

// Seconds.
constexpr double kShortestBrowse = 0.1;
constexpr double kLongestBrowse = 86400;

void AddRunCommand(CLI::App& app, RunOptions& options) {
  app.add_option("--log", options.log_format, "form of the log; the configuration's word without it")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_flag("--trace", options.trace,
               "log each step of each request: only to look for a cause, never in service");
  app.add_subcommand("run", "serve as LB_CONFIG says (the default)");
}

CLI::App* AddCheckConfigCommand(CLI::App& app, std::string& file) {
  CLI::App* config = app.add_subcommand("config", "the configuration")->require_subcommand(1);
  CLI::App* check = config->add_subcommand("check", "say whether the program could start with a file");
  check->add_option("FILE", file, "the configuration")->required();
  return check;
}

CLI::App* AddBrowseCommand(CLI::App& app, BrowseOptions& options) {
  CLI::App* dns = app.add_subcommand("dns", "DNS-SD sources of servers")->require_subcommand(1);
  CLI::App* browse = dns->add_subcommand("browse", "show zones live, as the router sees them");
  CLI::Option* file = browse->add_option("FILE", options.file, "a configuration that names DNS-SD sources");
  browse->add_option("--source", options.source, "only that source of the file")->needs(file);
  CLI::Option* zone =
      browse->add_option("--zone", options.zone, "a zone, such as derby.example.org")->excludes(file);
  browse->add_option("--service", options.service, "the service")->capture_default_str()->needs(zone);
  browse->add_option("--mode", options.mode, "poll, serial or transfer")
      ->capture_default_str()
      ->check(CLI::IsMember({"poll", "serial", "transfer"}))
      ->needs(zone);
  browse->add_option("--resolver", options.resolvers, "address and port, more than once for several")
      ->needs(zone);
  browse->add_option("--for", options.seconds, "seconds")
      ->capture_default_str()
      ->check(CLI::Range(kShortestBrowse, kLongestBrowse));
  browse->add_flag("--once", options.once, "end as soon as the zone has been told");
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
    std::cerr << "tulipyoke dns browse wants a FILE or a --zone\n";
    return kExitFailure;
  }
  return BrowseDns(browse_options, std::cout);
}

}  // namespace tulipyoke::cli

#include "src/cli/commands.hpp"

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>

#include "src/config/checked.hpp"
#include "src/config/config.hpp"
#include "src/discovery/dns_sd_discovery.hpp"
#include "src/log/log.hpp"
#include "src/net/node.hpp"

namespace tulipyoke::cli {
namespace {

const char* StateText(ServerState state) {
  return state == ServerState::kReady ? "in service" : state == ServerState::kDraining ? "draining" : "gone";
}

DirectoryConfig ZonesOf(const Browse& browse) {
  if (browse.file.empty()) {
    nlohmann::json source{{"type", "dns-sd"},
                          {"zone", browse.zone},
                          {"service", browse.service},
                          {"mode", browse.mode},
                          {"resolvers", browse.resolvers}};
    return DirectoryFrom({{"sources", {source}}}, "command line", Settings());
  }
  DirectoryConfig config = ParseConfig(ReadFile(browse.file)).directory;
  std::erase_if(config.sources, [&](const SourceConfig& source) {
    return source.kind != SourceConfig::Kind::kDns ||
           (!browse.source.empty() && source.name != browse.source);
  });
  if (!config.on()) throw std::runtime_error("the configuration names no such DNS-SD source");
  return config;
}

}  // namespace

int Run(const std::string& log_form, bool trace) {
  std::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may end first
  // Signals that come before the node handles them wait: one to reread the configuration must not end it.
  sigset_t handled, before;
  sigemptyset(&handled);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGUSR1}) sigaddset(&handled, signal);
  sigprocmask(SIG_BLOCK, &handled, &before);
  try {
    Config config = LoadConfig();
    config.trace = trace;
    const bool json = log_form.empty() ? config.log_json : log_form == "json";
    SetLogForm(json ? LogForm::kJson : LogForm::kText);
    net::Node node(config);
    sigprocmask(SIG_SETMASK, &before, nullptr);
    node.Run();
    return 0;
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "cannot_start", error.what());
    return 1;
  }
}

int CheckConfig(const std::string& file, std::ostream& out) {
  try {
    const Config config = ParseConfig(ReadFile(file));
    CheckComplete(config);
    out << file << ": " << config.settings.classes.size() << " classes, " << config.known.servers.size()
        << " known servers, " << (config.directory.on() ? config.directory.sources.size() : 1)
        << " sources of servers\n";
    return 0;
  } catch (const std::exception& error) {
    out << file << ": " << error.what() << "\n";
    return 1;
  }
}

int BrowseDns(const Browse& browse, std::ostream& out) {
  try {
    asio::io_context io;
    net::LoopClock clock;
    const DirectoryConfig config = ZonesOf(browse);
    const Micros start = clock.Now();
    bool told = false;
    discovery::DnsSdDiscovery directory(io, clock, config, [&](const Listing& listing) {
      told = true;
      for (const ListedServer& server : listing.servers) {
        out << (clock.Now() - start) / 1000 << " ms: " << server.id << " at " << server.address << " "
            << StateText(server.state) << std::endl;
      }
    });
    const Micros end = start + static_cast<Micros>(browse.seconds * 1e6);
    const auto all_told = [&] {
      for (const auto& zone : directory.Zones()) {
        if (zone.browser.accepted_lists == 0) return false;
      }
      return told;
    };
    while (clock.Now() < end && !(browse.once && all_told())) {
      clock.NewTurn();
      io.run_one_until(clock.ToSteady(end));
    }
    clock.NewTurn();
    out << discovery::ToText(directory, clock.Now());
    return all_told() ? 0 : 2;
  } catch (const std::exception& error) {
    out << error.what() << "\n";
    return 1;
  }
}

int Main(int argc, const char* const* argv) {
  CLI::App app("A router for replicated readings servers.", "tulipyoke");
  app.set_version_flag("--version", TULIPYOKE_VERSION);
  app.require_subcommand(0, 1);
  std::string log_form;
  app.add_option("--log", log_form, "form of the log; the configuration's word without it")
      ->check(CLI::IsMember({"text", "json"}));
  bool trace = false;
  app.add_flag("--trace", trace, "log each step of each request: only to look for a cause, never in service");
  app.add_subcommand("run", "serve as LB_CONFIG says (the default)");

  CLI::App* config = app.add_subcommand("config", "the configuration")->require_subcommand(1);
  CLI::App* check = config->add_subcommand("check", "say whether the program could start with a file");
  std::string file;
  check->add_option("FILE", file, "the configuration")->required();

  CLI::App* dns = app.add_subcommand("dns", "DNS-SD sources of servers")->require_subcommand(1);
  CLI::App* show = dns->add_subcommand("browse", "show zones live, as the router sees them");
  Browse browse;
  auto* from = show->add_option("FILE", browse.file, "a configuration that names DNS-SD sources");
  show->add_option("--source", browse.source, "only that source of the file")->needs(from);
  auto* zone = show->add_option("--zone", browse.zone, "a zone, such as derby.example.org")->excludes(from);
  show->add_option("--service", browse.service, "the service")->capture_default_str()->needs(zone);
  show->add_option("--mode", browse.mode, "poll, serial or transfer")
      ->capture_default_str()
      ->check(CLI::IsMember({"poll", "serial", "transfer"}))
      ->needs(zone);
  show->add_option("--resolver", browse.resolvers, "address and port, more than once for several")
      ->needs(zone);
  show->add_option("--for", browse.seconds, "seconds")
      ->capture_default_str()
      ->check(CLI::Range(0.1, 86400.0));
  show->add_flag("--once", browse.once, "end as soon as the zone has been told");
  CLI11_PARSE(app, argc, argv);

  if (*check) return CheckConfig(file, std::cout);
  if (*show && browse.file.empty() && browse.zone.empty()) {
    std::cerr << "tulipyoke dns browse wants a FILE or a --zone\n";
    return 1;
  }
  if (*show) return BrowseDns(browse, std::cout);
  return Run(log_form, trace);
}

}  // namespace tulipyoke::cli

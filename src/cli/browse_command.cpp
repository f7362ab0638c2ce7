#include "src/cli/browse_command.hpp"

#include <asio.hpp>
#include <exception>
#include <functional>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>

#include "src/cli/exit_status.hpp"
#include "src/config/config.hpp"
#include "src/config/config_error.hpp"
#include "src/discovery/service_discovery.hpp"
#include "src/event_loop/loop_clock.hpp"

namespace tulipyoke::cli {
namespace {

constexpr Micros kMicrosPerMillisecond = 1000;
constexpr double kMicrosPerSecond = 1e6;

const char* StateText(ServerState state) {
  switch (state) {
    case ServerState::kReady:
      return "in service";
    case ServerState::kDraining:
      return "draining";
    case ServerState::kGone:
      break;
  }
  return "gone";
}

MembershipConfig SourcesOfCommandLine(const BrowseOptions& options) {
  const nlohmann::json source{{"type", "dns-sd"},
                              {"zone", options.zone},
                              {"service", options.service},
                              {"mode", options.mode},
                              {"resolvers", options.resolvers}};
  return ParseMembershipConfig({{"sources", {source}}}, "command line", Settings());
}

// Throws std::runtime_error where the file has no such source.
MembershipConfig SourcesOfFile(const BrowseOptions& options) {
  MembershipConfig config = ParseConfig(ReadFile(options.file)).membership;
  std::erase_if(config.sources, [&](const SourceConfig& source) {
    const bool wanted = options.source.empty() || source.name == options.source;
    return source.kind != SourceConfig::Kind::kDnsSd || !wanted;
  });
  if (!config.enabled()) throw std::runtime_error("the configuration names no such DNS-SD source");
  return config;
}

// Shows the zones until the time is over or, with `once`, all have been reported.
class Browser {
 public:
  Browser(const BrowseOptions& options, const MembershipConfig& config, std::ostream& out)
      : options_(options), out_(out), start_(clock_.Now()), directory_(io_, clock_, config, OnListing()) {}

  int Run() {
    const Micros end = start_ + static_cast<Micros>(options_.seconds * kMicrosPerSecond);
    while (clock_.Now() < end && !(options_.once && AllReported())) {
      clock_.BeginIteration();
      io_.run_one_until(clock_.ToSteady(end));
    }
    clock_.BeginIteration();
    out_ << ToText(directory_, clock_.Now());
    return AllReported() ? kExitSuccess : kExitIncomplete;
  }

 private:
  std::function<void(const EndpointList&)> OnListing() {
    return [this](const EndpointList& listing) { Show(listing); };
  }
  void Show(const EndpointList& listing) {
    reported_ = true;
    for (const ListedServer& server : listing.servers) {
      const Micros elapsed_ms = (clock_.Now() - start_) / kMicrosPerMillisecond;
      out_ << elapsed_ms << " ms: " << server.id << " at " << server.address << " " << StateText(server.state)
           << std::endl;
    }
  }
  bool AllReported() const {
    for (const auto& zone : directory_.ZoneStatuses()) {
      if (zone.browser.accepted_lists == 0) return false;
    }
    return reported_;
  }

  const BrowseOptions& options_;
  std::ostream& out_;
  asio::io_context io_;
  net::LoopClock clock_;
  Micros start_;
  bool reported_ = false;
  discovery::ServiceDiscovery directory_;
};

}  // namespace

int BrowseDns(const BrowseOptions& options, std::ostream& out) {
  try {
    const MembershipConfig config =
        options.file.empty() ? SourcesOfCommandLine(options) : SourcesOfFile(options);
    return Browser(options, config, out).Run();
  } catch (const std::exception& error) {
    out << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace tulipyoke::cli

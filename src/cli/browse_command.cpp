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

const char* ServerStateName(ServerState state) {
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

MembershipConfig MembershipFromOptions(const BrowseOptions& options) {
  const nlohmann::json source{{"type", "dns-sd"},
                              {"zone", options.zone},
                              {"service", options.service},
                              {"mode", options.mode},
                              {"resolvers", options.resolvers}};
  return ParseMembershipConfig({{"sources", {source}}}, "command line", Settings());
}

// Reads the file and keeps the selected DNS-SD sources. Throws std::runtime_error if there is none.
MembershipConfig MembershipFromFile(const BrowseOptions& options) {
  MembershipConfig config = ParseConfig(ReadFile(options.file)).membership;
  std::erase_if(config.sources, [&](const SourceConfig& source) {
    const bool name_matches = options.source.empty() || source.name == options.source;
    return source.kind != SourceConfig::Kind::kDnsSd || !name_matches;
  });
  if (!config.enabled()) throw std::runtime_error("the configuration has no matching DNS-SD source");
  return config;
}

// Browses the zones and prints each change until the time is over or, with `once`, every zone has been
// reported.
class Browser {
 public:
  Browser(const BrowseOptions& options, const MembershipConfig& config, std::ostream& out)
      : options_(options),
        out_(out),
        start_(clock_.Now()),
        discovery_(io_, clock_, config, MakeListingCallback()) {}

  int Run() {
    const Micros deadline = start_ + static_cast<Micros>(options_.seconds * kMicrosPerSecond);
    while (clock_.Now() < deadline && !(options_.once && AllZonesReported())) {
      clock_.BeginIteration();
      io_.run_one_until(clock_.ToSteady(deadline));
    }
    clock_.BeginIteration();
    out_ << ToText(discovery_, clock_.Now());
    return AllZonesReported() ? kExitSuccess : kExitIncomplete;
  }

 private:
  std::function<void(const EndpointList&)> MakeListingCallback() {
    return [this](const EndpointList& listing) { PrintListing(listing); };
  }
  void PrintListing(const EndpointList& listing) {
    received_listing_ = true;
    for (const ListedServer& server : listing.servers) {
      const Micros elapsed_ms = (clock_.Now() - start_) / kMicrosPerMillisecond;
      out_ << elapsed_ms << " ms: " << server.id << " at " << server.address << " "
           << ServerStateName(server.state) << std::endl;
    }
  }
  bool AllZonesReported() const {
    for (const auto& zone : discovery_.ZoneStatuses()) {
      if (zone.browser.accepted_lists == 0) return false;
    }
    return received_listing_;
  }

  const BrowseOptions& options_;
  std::ostream& out_;
  asio::io_context io_;
  net::LoopClock clock_;
  Micros start_;
  bool received_listing_ = false;
  discovery::ServiceDiscovery discovery_;
};

}  // namespace

int BrowseDns(const BrowseOptions& options, std::ostream& out) {
  try {
    const MembershipConfig config =
        options.file.empty() ? MembershipFromOptions(options) : MembershipFromFile(options);
    return Browser(options, config, out).Run();
  } catch (const std::exception& error) {
    out << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace tulipyoke::cli

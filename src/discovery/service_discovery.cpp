#include "src/discovery/service_discovery.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <limits>
#include <map>
#include <utility>

#include "src/event_loop/endpoint.hpp"
#include "src/log/log.hpp"

namespace tulipyoke::discovery {
namespace {

// The query sockets to divide among all zones, where each zone may use at least kMinQueriesPerZone. They use
// file descriptors that are reserved for the router itself.
constexpr std::size_t kMaxQuerySockets = 32;
constexpr std::size_t kMinQueriesPerZone = 2;

std::vector<std::string> SourceNames(const MembershipConfig& config) {
  std::vector<std::string> names;
  for (const SourceConfig& source : config.sources) names.push_back(source.name);
  return names;
}

bool IsDnsSd(const SourceConfig& source) { return source.kind == SourceConfig::Kind::kDnsSd; }

dnssd::BrowserOptions LimitedBrowserOptions(const DnsSdSource& source, std::size_t max_queries) {
  dnssd::BrowserOptions options = source.browser_options;
  options.max_concurrent_queries = std::min(options.max_concurrent_queries, max_queries);
  return options;
}

// Identifies one attempt of a query.
struct AttemptKey {
  dnssd::QueryId query = 0;
  int attempt = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

}  // namespace

struct ServiceDiscovery::Zone {
  Zone(std::size_t index, const std::string& source_name, const DnsSdSource& source, std::size_t max_queries)
      : source_index(index),
        name(source_name),
        browser(LimitedBrowserOptions(source, max_queries)),
        resolver(source.resolver_options) {
    for (const std::string& address : source.resolvers)
      resolver_endpoints.push_back(net::ParseEndpoint(address));
  }

  std::size_t source_index;
  std::string name;
  dnssd::ZoneBrowser browser;
  dnssd::StubResolver resolver;
  std::vector<asio::ip::tcp::endpoint> resolver_endpoints;             // by resolver index
  std::map<AttemptKey, std::shared_ptr<DnsTransaction>> transactions;  // in flight
};

ServiceDiscovery::ServiceDiscovery(asio::io_context& io, net::LoopClock& clock,
                                   const MembershipConfig& config, OnUpdate on_update)
    : io_(io),
      clock_(clock),
      config_(config),
      on_update_(std::move(on_update)),
      membership_(config.options, SourceNames(config)),
      timer_(io) {
  AddSources();
  asio::post(io_, [this] { ProcessPendingWork(); });
}

ServiceDiscovery::~ServiceDiscovery() { Stop(); }

void ServiceDiscovery::AddSources() {
  const std::vector<SourceConfig>& sources = config_.sources;
  const auto zone_count = static_cast<std::size_t>(std::count_if(sources.begin(), sources.end(), IsDnsSd));
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const SourceConfig& source = sources[i];
    if (source.kind == SourceConfig::Kind::kStatic)
      membership_.ApplyListing(clock_.Now(), i, source.static_listing);
    if (!IsDnsSd(source)) continue;
    const std::size_t max_queries = std::max(kMinQueriesPerZone, kMaxQuerySockets / zone_count);
    zones_.push_back(std::make_unique<Zone>(i, source.name, source.dns_sd, max_queries));
  }
}

void ServiceDiscovery::Stop() {
  stopped_ = true;
  timer_.cancel();
  for (const auto& zone : zones_) {
    for (const auto& [key, transaction] : std::exchange(zone->transactions, {})) transaction->Cancel();
  }
}

void ServiceDiscovery::RestoreRegistryListing(const EndpointList& cached_listing) {
  membership_.RestoreListing(clock_.Now(), config_.RegistryIndex().value(), cached_listing);
}

void ServiceDiscovery::OnRegistryUpdate(const EndpointList& listing) {
  const std::optional<std::size_t> registry = config_.RegistryIndex();
  if (!registry) return;
  membership_.ApplyListing(clock_.Now(), *registry, listing);
  ProcessPendingWork();
}

void ServiceDiscovery::ProcessPendingWork() {
  if (stopped_) return;
  for (const auto& zone : zones_) {
    while (ProcessZone(*zone)) {
    }
  }
  membership_.Tick(clock_.Now());
  if (const std::optional<EndpointList> listing = membership_.TakeListing()) on_update_(*listing);
  ArmTimer();
}

void ServiceDiscovery::ArmTimer() {
  std::optional<Micros> due = membership_.NextDue();
  for (const auto& zone : zones_) {
    const Micros zone_due = zone->browser.NextDue();
    due = std::min(due.value_or(zone_due), zone_due);
  }
  if (!due || *due == std::numeric_limits<Micros>::max()) return;
  timer_.expires_at(clock_.ToSteady(std::max(*due, clock_.Now() + 1)));
  timer_.async_wait([this](std::error_code error) {
    if (!error) ProcessPendingWork();
  });
}

bool ServiceDiscovery::ProcessZone(Zone& zone) {
  const Micros now = clock_.Now();
  zone.browser.Tick(now);
  bool progressed = false;
  for (const dnssd::Query& query : zone.browser.TakeQueries()) {
    zone.resolver.Submit(now, query);
    progressed = true;
  }
  for (const dnssd::Transmission& transmission : zone.resolver.TakeTransmissions()) {
    StartTransaction(zone, transmission);
  }
  for (const dnssd::QueryResult& result : zone.resolver.TakeResults()) {
    zone.browser.OnResult(now, result);
    progressed = true;
  }
  for (const std::size_t resolver : zone.browser.TakeStaleResolvers()) zone.resolver.MarkStale(now, resolver);
  for (const dnssd::Warning& warning : zone.browser.TakeWarnings()) {
    LogWarning(dnssd::EventName(warning.kind), "zone " + zone.name + ": " + warning.text,
               {{"source", zone.name}, {"why", warning.text}});
  }
  if (const std::optional<EndpointList> listing = zone.browser.TakeListing()) {
    membership_.ApplyListing(now, zone.source_index, *listing);
  }
  return progressed;
}

void ServiceDiscovery::StartTransaction(Zone& zone, const dnssd::Transmission& transmission) {
  const AttemptKey key{transmission.query, transmission.attempt};
  const auto transaction = std::make_shared<DnsTransaction>(
      io_, transaction_counters_, transmission,
      [this, &zone, key](std::vector<dnssd::Message> messages, std::optional<dnssd::QueryError> error) {
        zone.transactions.erase(key);
        if (error)
          zone.resolver.OnFailure(clock_.Now(), key.query, key.attempt, *error);
        else
          zone.resolver.OnResponse(clock_.Now(), key.query, key.attempt, std::move(messages));
        ProcessPendingWork();
      });
  zone.transactions[key] = transaction;
  transaction->Start(zone.resolver_endpoints[transmission.resolver], clock_.ToSteady(transmission.deadline));
}

std::vector<ServiceDiscovery::ZoneStatus> ServiceDiscovery::ZoneStatuses() const {
  std::vector<ZoneStatus> statuses;
  for (const auto& zone : zones_) {
    const dnssd::BrowserOptions& options = zone->browser.options();
    statuses.push_back({zone->name, options.service + "." + options.zone, zone->browser.serial(),
                        zone->browser.counters(), zone->resolver.counters(), zone->browser.View()});
  }
  return statuses;
}

}  // namespace tulipyoke::discovery

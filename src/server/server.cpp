#include "src/server/server.hpp"

#include <csignal>
#include <exception>
#include <functional>
#include <string>
#include <system_error>
#include <utility>

#include "src/event_loop/endpoint.hpp"
#include "src/log/log.hpp"
#include "src/server/counters_log.hpp"
#include "src/server/resource_quota.hpp"
#include "src/server/shutdown_plan.hpp"

namespace tulipyoke::net {
namespace {

// Upper limit of handlers per iteration, so that a busy socket does not delay the dispatcher's timers.
constexpr int kMaxHandlersPerIteration = 64;
// Replication positions are relative to the configured origin, in Unix time. An origin in the future or older
// than kMaxOriginAge at startup was read from a different clock. It is replaced by a time kFallbackOriginAge
// before startup.
constexpr Micros kMaxOriginAge = 86'400'000'000;
constexpr Micros kFallbackOriginAge = 600'000'000;

DispatcherOptions MakeDispatcherOptions(const Config& config, Micros now) {
  DispatcherOptions options{config.settings,        config.seed, config.failure_domains, config.server_kinds,
                            config.connect_timeout, config.trace};
  options.settings.reports_are_floats = false;
  const Micros origin = options.settings.position_epoch;
  if (origin > now || origin < now - kMaxOriginAge)
    options.settings.position_epoch = now - kFallbackOriginAge;
  return options;
}

UpstreamPoolOptions MakePoolOptions(const Config& config) {
  return {config.connect_timeout, config.idle_timeout, QuotaFor(config, kFullShare).server_connections};
}

ListenerOptions MakeListenerOptions(const Config& config, std::function<void()> before_request,
                                    std::function<void(std::uint64_t)> on_request_id) {
  ListenerOptions options{ParseEndpoint(config.listen_address), QuotaFor(config, kFullShare).clients,
                          config.accept_fd.value_or(-1), std::move(before_request)};
  options.on_request_id = std::move(on_request_id);
  return options;
}

// Returns an empty address if the registry is not a source of this router.
std::string RegistryAddress(const Config& config) {
  const bool watched = !config.membership.enabled() || config.membership.RegistryIndex();
  return watched ? config.discovery_address : "";
}

}  // namespace

Server::Server(const Config& config)
    : config_(config),
      signals_(io_, SIGHUP, SIGTERM, SIGINT),
      dispatcher_(MakeDispatcherOptions(config, clock_.Now())),
      pool_(io_, clock_, dispatcher_, MakePoolOptions(config)),
      listener_(io_, clock_, dispatcher_, serving_state_,
                MakeListenerOptions(
                    config, [this] { hot_restart_.ReceivePending(); },
                    [this](std::uint64_t key) { hot_restart_.ReplicateRequestId(key); })),
      dns_sd_discovery_(MakeDnsSdDiscovery()),
      registry_watch_(
          io_, [this](const EndpointList& listing) { OnRegistryListing(listing); }, RegistryAddress(config),
          config.cached_listing.version, discovery::ReconnectBackoff(config.settings, config.seed)),
      admin_request_handler_(clock_, dispatcher_, serving_state_, dns_sd_discovery_.get()),
      hot_restart_(io_, clock_, config_, dispatcher_, serving_state_, pool_, listener_),
      command_executor_(dispatcher_, pool_, listener_, registry_watch_, hot_restart_),
      shutdown_(io_, clock_, PlanShutdown(config.settings), dispatcher_, serving_state_, listener_),
      dispatcher_timer_(io_) {
  signals_.add(SIGUSR1);
  dispatcher_.Start(clock_.Now(), config.cached_listing);
  if (dns_sd_discovery_ && !config.cached_listing.servers.empty())
    dns_sd_discovery_->RestoreRegistryListing(config.cached_listing);
  StartAdminServer();
  AwaitSignal();
  hot_restart_.Start();
}

void Server::StartAdminServer() {
  if (config_.admin_address.empty()) return;
  admin_server_.emplace(io_, ParseEndpoint(config_.admin_address),
                        [this](const std::string& method, const std::string& path) {
                          return admin_request_handler_.Handle(method, path);
                        });
}

std::unique_ptr<discovery::ServiceDiscovery> Server::MakeDnsSdDiscovery() {
  if (!config_.membership.enabled()) return nullptr;
  return std::make_unique<discovery::ServiceDiscovery>(
      io_, clock_, config_.membership,
      [this](const EndpointList& listing) { dispatcher_.UpdateEndpoints(clock_.Now(), listing); });
}

void Server::OnRegistryListing(const EndpointList& listing) {
  if (dns_sd_discovery_) return dns_sd_discovery_->OnRegistryUpdate(listing);
  dispatcher_.UpdateEndpoints(clock_.Now(), listing);
}

void Server::Run() {
  EndIteration();
  while (!finished_) {
    clock_.BeginIteration();
    ++iterations_;
    if (io_.run_one() == 0) break;
    command_executor_.ExecuteAll();
    for (int handled = 1; handled < kMaxHandlersPerIteration && io_.poll_one() > 0; ++handled) {
      command_executor_.ExecuteAll();
    }
    EndIteration();
  }
  LogAllCounters();
}

void Server::EndIteration() {
  dispatcher_.Tick(clock_.Now());
  command_executor_.ExecuteAll();
  ArmDispatcherTimer();
  finished_ = shutdown_.Advance();
  if (finished_) hot_restart_.Stop();
}

void Server::ArmDispatcherTimer() {
  const std::optional<Micros> expiry = dispatcher_.NextTimerExpiry();
  if (!expiry || expiry == dispatcher_timer_expiry_) return;
  dispatcher_timer_expiry_ = expiry;
  dispatcher_timer_.expires_at(clock_.ToSteady(*expiry));
  dispatcher_timer_.async_wait([this](std::error_code error) {
    if (!error) dispatcher_timer_expiry_.reset();
  });
}

void Server::AwaitSignal() {
  signals_.async_wait([this](std::error_code error, int signal) {
    if (error) return;
    OnSignal(signal);
    AwaitSignal();
  });
}

void Server::OnSignal(int signal) {
  switch (signal) {
    case SIGUSR1:
      return LogAllCounters();
    case SIGHUP:
      return Reload();
    default:
      return shutdown_.Begin();
  }
}

// Applies only the registry address of the new configuration. All other settings are read at startup only.
void Server::Reload() {
  try {
    const std::string address = ReloadConfig().discovery_address;
    registry_watch_.Redirect(address);
    LogInfo("configuration_read", "configuration reloaded: the registry is at " + address);
  } catch (const std::exception& error) {
    LogWarning("configuration_refused",
               "configuration reload failed, keeping the previous one: " + std::string(error.what()));
  }
}

void Server::LogAllCounters() {
  const AdminServer* const admin_server = admin_server_ ? &*admin_server_ : nullptr;
  LogCounters({dispatcher_, listener_, pool_, registry_watch_, admin_server, dns_sd_discovery_.get()},
              clock_.Now());
}

}  // namespace tulipyoke::net

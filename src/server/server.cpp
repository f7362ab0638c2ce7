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

// Handlers that one iteration runs at the most, so that timers and commands do not wait for a busy socket.
constexpr int kMaxHandlersPerIteration = 64;
// Replication positions are counted from the configured origin, a time of Unix. One that is not within this
// long before the start was taken from another clock and says nothing of Unix time: they are counted from
// shortly before the start instead.
constexpr Micros kOldestOrigin = 86'400'000'000;
constexpr Micros kOriginBeforeStart = 600'000'000;

DispatcherOptions MakeDispatcherOptions(const Config& config, Micros now) {
  DispatcherOptions options{config.settings,        config.seed, config.failure_domains, config.server_kinds,
                            config.connect_timeout, config.trace};
  options.settings.reports_are_floats = false;
  const Micros origin = options.settings.position_epoch;
  if (origin > now || origin < now - kOldestOrigin)
    options.settings.position_epoch = now - kOriginBeforeStart;
  return options;
}

UpstreamPoolOptions MakePoolOptions(const Config& config) {
  return {config.connect_timeout, config.idle_timeout, QuotaFor(config, kWholeShare).server_connections};
}

ListenerOptions MakeListenerOptions(const Config& config, std::function<void()> before_request) {
  return {ParseEndpoint(config.listen_address), QuotaFor(config, kWholeShare).clients,
          config.accept_fd.value_or(-1), std::move(before_request)};
}

// Empty where the registry is not a source of this router.
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
                MakeListenerOptions(config, [this] { hot_restart_.ReceivePending(); })),
      directory_(MakeDirectory()),
      registry_watch_(
          io_, [this](const EndpointList& listing) { OnRegistryListing(listing); }, RegistryAddress(config),
          config.cached_listing.version, discovery::PollBackoff(config.settings, config.seed)),
      admin_calls_(clock_, dispatcher_, serving_state_, directory_.get()),
      hot_restart_(io_, clock_, config_, dispatcher_, serving_state_, pool_, listener_),
      command_executor_(dispatcher_, pool_, listener_, registry_watch_, hot_restart_),
      shutdown_(io_, clock_, PlanShutdown(config.settings), dispatcher_, serving_state_, listener_),
      dispatcher_timer_(io_) {
  signals_.add(SIGUSR1);
  dispatcher_.Start(clock_.Now(), config.cached_listing);
  if (directory_ && !config.cached_listing.servers.empty()) directory_->SeedRegistry(config.cached_listing);
  StartAdminServer();
  AwaitSignal();
  hot_restart_.Start();
}

void Server::StartAdminServer() {
  if (config_.admin_address.empty()) return;
  admin_server_.emplace(io_, ParseEndpoint(config_.admin_address),
                        [this](const std::string& method, const std::string& path) {
                          return admin_calls_.Answer(method, path);
                        });
}

std::unique_ptr<discovery::DnsSdDiscovery> Server::MakeDirectory() {
  if (!config_.membership.enabled()) return nullptr;
  return std::make_unique<discovery::DnsSdDiscovery>(
      io_, clock_, config_.membership,
      [this](const EndpointList& listing) { dispatcher_.UpdateEndpoints(clock_.Now(), listing); });
}

void Server::OnRegistryListing(const EndpointList& listing) {
  if (directory_) return directory_->OnRegistryUpdate(listing);
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
  const std::optional<Micros> due = dispatcher_.NextTimerExpiry();
  if (!due || due == dispatcher_timer_armed_for_) return;
  dispatcher_timer_armed_for_ = due;
  dispatcher_timer_.expires_at(clock_.ToSteady(*due));
  dispatcher_timer_.async_wait([this](std::error_code error) {
    if (!error) dispatcher_timer_armed_for_.reset();
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

// Of a new configuration only the address of the registry is used: all else is built into what runs.
void Server::Reload() {
  try {
    const std::string address = ReloadConfig().discovery_address;
    registry_watch_.Redirect(address);
    LogInfo("configuration_read", "configuration read anew: discovery is at " + address);
  } catch (const std::exception& error) {
    LogWarning("configuration_refused", "the new configuration is not used: " + std::string(error.what()));
  }
}

void Server::LogAllCounters() {
  const AdminServer* const admin_server = admin_server_ ? &*admin_server_ : nullptr;
  LogCounters({dispatcher_, listener_, pool_, registry_watch_, admin_server, directory_.get()}, clock_.Now());
}

}  // namespace tulipyoke::net

// A complete router: owns the event loop and all components that run on it, starts them, reloads the
// configuration and shuts down.
#ifndef TULIPYOKE_SRC_SERVER_SERVER_HPP_
#define TULIPYOKE_SRC_SERVER_SERVER_HPP_

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "src/admin/admin_server.hpp"
#include "src/config/config.hpp"
#include "src/discovery/registry_watch.hpp"
#include "src/discovery/service_discovery.hpp"
#include "src/dispatch/dispatcher.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/listener/client_listener.hpp"
#include "src/server/admin_request_handler.hpp"
#include "src/server/command_executor.hpp"
#include "src/server/graceful_shutdown.hpp"
#include "src/server/hot_restart_coordinator.hpp"
#include "src/serving_state/serving_state.hpp"
#include "src/upstream/upstream_pool.hpp"

namespace tulipyoke::net {

// SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the configuration, SIGUSR1 logs the counters.
class Server {
 public:
  // Starts listening and connects to an older process of this router, if there is one. Throws an exception
  // derived from std::exception if the router cannot start.
  explicit Server(const Config& config);

  // Runs the event loop on the calling thread until the shutdown has finished.
  void Run();

  // The ports of the client listener and of the admin server. admin_port() is 0 if there is no admin server.
  std::uint16_t port() const { return listener_.port(); }
  std::uint16_t admin_port() const { return admin_server_ ? admin_server_->port() : 0; }
  // The number of event loop iterations. The loop sleeps between iterations while there is no work.
  std::uint64_t iterations() const { return iterations_; }

 private:
  void StartAdminServer();
  std::unique_ptr<discovery::ServiceDiscovery> MakeDnsSdDiscovery();
  void OnRegistryListing(const EndpointList& listing);
  void AwaitSignal();
  void OnSignal(int signal);
  void Reload();
  void EndIteration();
  void ArmDispatcherTimer();
  void LogAllCounters();

  const Config config_;
  asio::io_context io_{1};
  // Declared before the components that take time to construct: a signal that arrives meanwhile is handled
  // once they are constructed.
  asio::signal_set signals_;
  LoopClock clock_;
  Dispatcher dispatcher_;
  ServingState serving_state_;
  UpstreamPool pool_;
  ClientListener listener_;
  std::unique_ptr<discovery::ServiceDiscovery> dns_sd_discovery_;  // null if the registry is the only source
  discovery::RegistryWatch registry_watch_;
  AdminRequestHandler admin_request_handler_;
  std::optional<AdminServer> admin_server_;
  HotRestartCoordinator hot_restart_;
  CommandExecutor command_executor_;
  GracefulShutdown shutdown_;
  asio::steady_timer dispatcher_timer_;
  std::optional<Micros> dispatcher_timer_expiry_;
  bool finished_ = false;
  std::uint64_t iterations_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_SERVER_HPP_

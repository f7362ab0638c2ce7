// Logs the counters of the process, on SIGUSR1 and at exit.
#ifndef TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_
#define TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_

#include "src/admin/admin_server.hpp"
#include "src/discovery/registry_watch.hpp"
#include "src/discovery/service_discovery.hpp"
#include "src/dispatch/dispatcher.hpp"
#include "src/listener/client_listener.hpp"
#include "src/upstream/upstream_pool.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// The objects whose counters are logged. LogCounters does not keep the references.
struct CounterSources {
  const Dispatcher& dispatcher;
  const ClientListener& listener;
  const UpstreamPool& pool;
  const discovery::RegistryWatch& registry_watch;
  const AdminServer* admin_server = nullptr;                      // null if there is no admin server
  const discovery::ServiceDiscovery* dns_sd_discovery = nullptr;  // null if the registry is the only source
};

// Logs one line for each group of counters. Statistics are computed as of `now`.
void LogCounters(const CounterSources& sources, Micros now);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_

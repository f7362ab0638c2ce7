// The counters that the process logs on SIGUSR1 and at its end.
#ifndef TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_
#define TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_

#include "src/admin/admin_server.hpp"
#include "src/discovery/dns_sd_discovery.hpp"
#include "src/discovery/registry_watch.hpp"
#include "src/dispatch/dispatcher.hpp"
#include "src/listener/client_listener.hpp"
#include "src/upstream/upstream_pool.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// What has counters; used only during the call that it is given to.
struct CounterSources {
  const Dispatcher& dispatcher;
  const ClientListener& listener;
  const UpstreamPool& pool;
  const discovery::RegistryWatch& registry_watch;
  const AdminServer* admin_server = nullptr;  // null: there is none
  const discovery::DnsSdDiscovery* dns_sd_discovery =
      nullptr;  // null: the registry is the only source of servers
};

// One line for each source, as of `now`.
void LogCounters(const CounterSources& sources, Micros now);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_

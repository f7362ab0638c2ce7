// The counters that the process logs on SIGUSR1 and at its end.
#ifndef TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_
#define TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_

#include "src/admin/admin_server.hpp"
#include "src/exchange/exchange.hpp"
#include "src/net/directory.hpp"
#include "src/net/discovery.hpp"
#include "src/net/front.hpp"
#include "src/net/pool.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// What has counters; used only during the call that it is given to.
struct CounterSources {
  const Exchange& dispatcher;
  const ClientFront& listener;
  const ServerPool& pool;
  const DiscoveryWatch& registry_watch;
  const AdminServer* admin_server = nullptr;  // null: there is none
  const Directory* directory = nullptr;       // null: the registry is the only source of servers
};

// One line for each source, as of `now`.
void LogCounters(const CounterSources& sources, Micros now);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_COUNTERS_LOG_HPP_

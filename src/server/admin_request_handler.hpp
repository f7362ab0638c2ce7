// Handles the requests of the admin server: readiness, counters, the state of the servers, and taking the
// process out of service and back.
#ifndef TULIPYOKE_SRC_SERVER_ADMIN_REQUEST_HANDLER_HPP_
#define TULIPYOKE_SRC_SERVER_ADMIN_REQUEST_HANDLER_HPP_

#include <string>

#include "src/admin/admin_response.hpp"
#include "src/discovery/service_discovery.hpp"
#include "src/dispatch/dispatcher.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/serving_state/serving_state.hpp"

namespace tulipyoke::net {

// Used only on the event loop thread. The constructor arguments must outlive it.
class AdminRequestHandler {
 public:
  // `dns_sd_discovery` is null if the registry is the only source. The path for the servers then returns 404.
  AdminRequestHandler(LoopClock& clock, Dispatcher& dispatcher, ServingState& serving_state,
                      const discovery::ServiceDiscovery* dns_sd_discovery);

  AdminResponse Handle(const std::string& method, const std::string& path);

 private:
  struct Route;
  static const Route kRoutes[];

  const Route* FindRoute(const std::string& path) const;
  AdminResponse Ready();
  AdminResponse Counters();
  AdminResponse Servers();
  AdminResponse OutOfService();
  AdminResponse InService();

  LoopClock& clock_;
  Dispatcher& dispatcher_;
  ServingState& serving_state_;
  const discovery::ServiceDiscovery* dns_sd_discovery_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_ADMIN_REQUEST_HANDLER_HPP_

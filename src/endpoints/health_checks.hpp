// Requests health checks of servers, within a budget that all routers share.
#ifndef TULIPYOKE_SRC_ENDPOINTS_HEALTH_CHECKS_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_HEALTH_CHECKS_HPP_

#include "src/endpoints/routing_context.hpp"
#include "src/endpoints/server.hpp"
#include "src/limits/token_budget.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::endpoints {

class HealthChecks {
 public:
  explicit HealthChecks(const RoutingContext& context);

  // A request has arrived: the budget grows by a share of a check.
  void Refill();
  // Takes a check from the budget for a read that is itself sent to learn a server's position.
  bool TryConsumeForRead() { return budget_.TryConsume(1); }
  // Requests a check unless one is in progress, the last one is more recent than `min_interval` (0: at any
  // time), or the budget is spent.
  void Request(Server& server, Micros min_interval, EventScope& scope);
  // Sets the interval to the next check by whether the last one showed a newer position.
  void UpdateInterval(HealthCheckState& check, bool newer_position) const;

 private:
  const RoutingContext& context_;
  limits::TokenBudget budget_;
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_HEALTH_CHECKS_HPP_

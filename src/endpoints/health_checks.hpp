// Requests health checks of servers within this router's part of a budget for all routers.
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

  // Adds a fraction of a check to the budget for each request that arrives.
  void Refill();
  // Takes a check from the budget for a read that is sent to learn a server's position.
  bool TryConsumeForRead() { return budget_.TryConsume(1); }
  // Requests a check unless one is in progress, the last one is more recent than `min_interval` (0 disables
  // this condition) or the budget is empty.
  void Request(Server& server, Micros min_interval, EventScope& scope);
  // Sets the interval until the next check: the shortest one if the last check showed a newer position,
  // else twice the previous one up to a maximum.
  void UpdateInterval(HealthCheckState& check, bool newer_position) const;

 private:
  const RoutingContext& context_;
  limits::TokenBudget budget_;
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_HEALTH_CHECKS_HPP_

// Ejects servers when their attempts or health checks fail, and records the responses that reinstate them.
#ifndef TULIPYOKE_SRC_POLICY_OUTLIER_DETECTION_HPP_
#define TULIPYOKE_SRC_POLICY_OUTLIER_DETECTION_HPP_

#include "src/endpoints/health_checks.hpp"
#include "src/endpoints/routing_context.hpp"
#include "src/endpoints/server.hpp"

namespace tulipyoke::policy {

class OutlierDetection {
 public:
  OutlierDetection(endpoints::RoutingContext& context, endpoints::HealthChecks& checks)
      : context_(context), checks_(checks) {}

  void ObserveAttempt(endpoints::Server& server, const estimates::InFlightAttempt& attempt,
                      const AttemptEnded& outcome, endpoints::EventScope& scope);
  void ObserveHealthCheck(endpoints::Server& server, Status status, endpoints::EventScope& scope);

 private:
  void Eject(endpoints::Server& server, limits::EjectionReason sign, endpoints::EventScope& scope);

  endpoints::RoutingContext& context_;
  endpoints::HealthChecks& checks_;
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_OUTLIER_DETECTION_HPP_

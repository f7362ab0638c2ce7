#include "src/policy/outlier_detection.hpp"

#include "src/endpoints/outcome_observer.hpp"

namespace tulipyoke::policy {
namespace {

// From this share of failing attempts on, a reset ejects the server. Some networks and requests fail on all
// servers alike, and ejecting each server for a single failure would leave too few.
constexpr double kEjectionFailureShare = 0.5;

bool IsServerFailure(Status status) { return status == Status::kError || status == Status::kReset; }

// Whether the server itself responded, which shows that its process is running.
bool ServerResponded(Status status) {
  return status == Status::kOk || status == Status::kStaleOrWrongRole || status == Status::kError;
}

}  // namespace

void OutlierDetection::ObserveAttempt(endpoints::Server& server, const estimates::InFlightAttempt& attempt,
                                      const AttemptEnded& outcome, endpoints::EventScope& scope) {
  const Status status = outcome.status;
  if (ServerResponded(status)) server.OnResponse(scope.now, context_.settings.overload_window);
  // A refused connection may only mean that the server has reached its connection limit; a health check tells
  // whether it is down.
  if (status == Status::kConnectFailed) checks_.Request(server, 0, scope);
  if (IsServerFailure(status) || ServerResponded(status)) {
    server.failures.Observe(scope.now, IsServerFailure(status), context_.scales.longest_objective);
  }
  if (status == Status::kReset) {
    // If the process has died, everything in flight there fails, and so does the health check.
    const double failure_share = server.FailureRate(scope.now, context_.scales);
    if (failure_share >= kEjectionFailureShare) Eject(server, limits::EjectionReason::kUnreachable, scope);
    checks_.Request(server, 0, scope);
  }
  const ClassSettings& c = context_.ClassOf(attempt.class_index);
  const bool late_timeout = status == Status::kTimeout && endpoints::ClassifyTiming(outcome, c).overloaded;
  if (late_timeout && server.last_response < attempt.sent)
    Eject(server, limits::EjectionReason::kSlow, scope);
  if (status == Status::kOverloaded || status == Status::kConnectFailed) {
    server.ejection.StartBackoff(scope.now, context_.scales, context_.random);
  }
}

void OutlierDetection::ObserveHealthCheck(endpoints::Server& server, Status status,
                                          endpoints::EventScope& scope) {
  server.health_check.in_progress = false;
  if (status == Status::kOk) {
    server.health_check.succeeded = scope.now;
  } else if (status != Status::kOverloaded) {
    Eject(server, limits::EjectionReason::kUnreachable, scope);
  }
}

void OutlierDetection::Eject(endpoints::Server& server, limits::EjectionReason sign,
                             endpoints::EventScope& scope) {
  const bool ejected = server.ejection.Eject(scope.now, sign, context_.scales, context_.random);
  if (ejected) checks_.Request(server, 0, scope);
}

}  // namespace tulipyoke::policy

#include "src/policy/outlier_detection.hpp"

#include "src/endpoints/outcome_observer.hpp"

namespace tulipyoke::policy {
namespace {

// The share of failing attempts from which on a reset ejects the server. Some networks and answers fail at
// all servers alike, and to eject each for it would leave too few.
constexpr double kEjectedFailureShare = 0.5;

bool IsFault(Status status) { return status == Status::kError || status == Status::kReset; }

// Whether the server itself answered, so that it is alive.
bool IsAnswer(Status status) {
  return status == Status::kOk || status == Status::kStaleOrWrongRole || status == Status::kError;
}

}  // namespace

void OutlierDetection::ObserveAttempt(endpoints::Server& server, const estimates::InFlightAttempt& attempt,
                                      const AttemptEnded& outcome, endpoints::EventScope& scope) {
  const Status status = outcome.status;
  if (IsAnswer(status)) server.OnResponse(scope.now, context_.settings.overload_window);
  // A refused connection may only mean that the server has all it takes: a check tells whether it is down.
  if (status == Status::kConnectFailed) checks_.Request(server, 0, scope);
  if (IsFault(status) || IsAnswer(status)) {
    server.failures.Observe(scope.now, IsFault(status), context_.scales.longest_objective);
  }
  if (status == Status::kReset) {
    // A process that died fails all that was in flight there, and the health check as well.
    const double failing = server.FailureRate(scope.now, context_.scales);
    if (failing >= kEjectedFailureShare) Eject(server, limits::EjectionReason::kUnreachable, scope);
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

#include "src/endpoints/server.hpp"

namespace tulipyoke::endpoints {

void Server::OnRestart(Micros when) {
  slow_start_from = when;
  latency_ratio.Reset();
  position.ResetApplyRate();
  failures.Reset();
  queue.Reset();
  concurrency_limit.Reset();
  ejection.OnRestart(when);
}

void Server::OnResponse(Micros now, Micros restart_time) {
  last_response = now;
  if (ejection.OnResponse(now, restart_time)) OnRestart(now);
  ejection.Reinstate();
}

bool Server::AdmitsTrial(bool health_checks_allowed) const {
  if (!ejection.ejected()) return true;
  const bool checked = !health_checks_allowed || health_check.succeeded >= ejection.last_ejected();
  return checked && !in_flight.HasActiveSentSince(ejection.last_ejected());
}

double Server::FailureRate(Micros now, const estimates::TimeScales& scales) const {
  return failures.At(now, scales.longest_objective);
}

}  // namespace tulipyoke::endpoints

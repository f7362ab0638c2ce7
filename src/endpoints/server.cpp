#include "src/endpoints/server.hpp"

namespace tulipyoke::endpoints {

void Server::Restarted(Micros when) {
  slow_start_from = when;
  slowness.Reset();
  position.ResetRate();
  failures.Reset();
  queue.Reset();
  concurrency_limit.Reset();
  ejection.Restarted(when);
}

void Server::Answered(Micros now, Micros restart_time) {
  last_answer = now;
  if (ejection.Answered(now, restart_time)) Restarted(now);
  ejection.Reinstate();
}

bool Server::AdmitsTrial(bool health_checks_allowed) const {
  if (!ejection.ejected()) return true;
  const bool checked = !health_checks_allowed || health_check.succeeded >= ejection.since();
  return checked && !in_flight.HasSentSince(ejection.since());
}

double Server::FailureShare(Micros now, const estimates::TimeScales& scales) const {
  return failures.At(now, scales.longest_objective);
}

}  // namespace tulipyoke::endpoints

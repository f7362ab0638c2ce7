// The state that a Router keeps for each server and each group of servers.
#ifndef TULIPYOKE_SRC_ENDPOINTS_SERVER_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_SERVER_HPP_

#include <vector>

#include "src/endpoints/routing_context.hpp"
#include "src/estimates/in_flight.hpp"
#include "src/estimates/latency_model.hpp"
#include "src/estimates/replica_position.hpp"
#include "src/estimates/throughput.hpp"
#include "src/limits/admission_control.hpp"
#include "src/limits/concurrency_limit.hpp"
#include "src/limits/ejection.hpp"
#include "src/limits/primary_headroom.hpp"
#include "src/limits/slow_start_budget.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::endpoints {

inline constexpr int kNoGroup = -1;
// Earlier than any time that a Router uses.
inline constexpr Micros kNever = -1;

struct HealthCheckState {
  bool in_progress = false;
  Micros sent = kNever;
  Micros succeeded = kNever;
  Micros interval = 0;  // increases while the checks show no newer position
};

struct Server {
  // Handles a restart of the server at `when`: discards what was learned about the previous process.
  void OnRestart(Micros when);
  // Handles a response of the server, whatever its status.
  void OnResponse(Micros now, Micros restart_time);
  // Returns whether ejection allows an attempt at this server. An ejected server gets one attempt at a
  // time, and, if health checks are allowed, only after a check that succeeded since the ejection.
  bool AdmitsTrial(bool health_checks_allowed) const;
  // The smoothed fraction of its attempts that fail.
  double FailureRate(Micros now, const estimates::TimeScales& scales) const;

  ServerId id = 0;
  int group = kNoGroup;
  int zone = 0;
  bool open = false;  // listed as ready
  bool listed_primary = false;
  Micros boot_time = 0;
  Micros known_since = 0;
  Micros last_open = 0;  // the last time at which it was open
  Role role = Role::kUnknown;
  Micros role_time = kNever;
  Micros last_response = kNever;
  Micros slow_start_from = kNever;
  estimates::ReplicaPosition position;
  estimates::LatencyRatio latency_ratio;
  estimates::Throughput throughput;
  estimates::FailureRate failures;
  estimates::ReportedQueue queue;
  estimates::InFlightAttempts in_flight;
  limits::ConcurrencyLimit concurrency_limit;
  limits::SlowStartBudget slow_start_budget;
  limits::Ejection ejection;
  HealthCheckState health_check;
};

struct Group {
  std::vector<ServerId> members;
  bool has_primary = false;
  ServerId primary = 0;                // 0 if there is none
  limits::AdmissionControl admission;  // for reads at its replicas
  limits::PrimaryHeadroom headroom;
  // The work per microsecond that a warm member finishes for this router.
  double warm_throughput = 0;
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_SERVER_HPP_

// What a Router knows of one server, and of one group of servers.
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
// Before every time of a Router.
inline constexpr Micros kNever = -1;

struct HealthCheckState {
  bool in_progress = false;
  Micros sent = kNever;
  Micros succeeded = kNever;
  Micros interval = 0;  // grows while the checks show no newer position
};

struct Server {
  // The server was started at `when`: what was learned of the process before does not hold for this one.
  void OnRestart(Micros when);
  // Notes an answer of the server, whatever its outcome.
  void OnResponse(Micros now, Micros restart_time);
  // Whether an attempt may go there as far as ejection goes: one at a time tries an ejected server, and only
  // after a health check that succeeded since.
  bool AdmitsTrial(bool health_checks_allowed) const;
  // Smoothed share of its attempts that fail.
  double FailureRate(Micros now, const estimates::TimeScales& scales) const;

  ServerId id = 0;
  int group = kNoGroup;
  int zone = 0;
  bool open = false;  // listed as ready
  bool listed_primary = false;
  Micros boot_time = 0;
  Micros known_since = 0;
  Micros last_open = 0;  // when it was last known to be open
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
  ServerId primary = 0;                // 0 where there is none
  limits::AdmissionControl admission;  // of reads at its replicas
  limits::PrimaryHeadroom headroom;
  double warm_throughput =
      0;  // work per microsecond that a warm member was last seen to finish for this router
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_SERVER_HPP_

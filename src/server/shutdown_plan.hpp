// The times of a graceful shutdown.
#ifndef TULIPYOKE_SRC_SERVER_SHUTDOWN_PLAN_HPP_
#define TULIPYOKE_SRC_SERVER_SHUTDOWN_PLAN_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// Counted from the signal that asks for the shutdown.
struct ShutdownPlan {
  Micros response_deadline = 0;  // each request has its answer
  Micros exit_deadline = 0;      // the process ends, whatever is still open
};

// Leaves time for the longest deadline, within the time after which the process is killed.
ShutdownPlan PlanShutdown(const Settings& settings);

// Of all classes of requests.
Micros LongestDeadline(const Settings& settings);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_SHUTDOWN_PLAN_HPP_

// Computes the deadlines of a graceful shutdown.
#ifndef TULIPYOKE_SRC_SERVER_SHUTDOWN_PLAN_HPP_
#define TULIPYOKE_SRC_SERVER_SHUTDOWN_PLAN_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// Both deadlines are relative to the signal that starts the shutdown.
struct ShutdownPlan {
  Micros response_deadline = 0;  // every request has its final response
  Micros exit_deadline = 0;      // the process exits, even with open connections
};

// Allows as much time as possible for the longest request deadline, but ends before the process is killed.
ShutdownPlan PlanShutdown(const Settings& settings);

// Returns the longest deadline of all request classes.
Micros LongestDeadline(const Settings& settings);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_SERVER_SHUTDOWN_PLAN_HPP_

#include "src/endpoints/health_checks.hpp"

#include <algorithm>

namespace tulipyoke::endpoints {
namespace {

// How many health checks for parked reads each arriving request adds to the budget. Other reads rely on
// what responses show.
constexpr double kChecksPerRequest = 0.2;
// The number of checks that all routers together may request at once.
constexpr double kTotalBurst = 20.0;

double BurstPerRouter(const Settings& settings) { return std::max(1.0, kTotalBurst / settings.router_count); }

}  // namespace

HealthChecks::HealthChecks(const RoutingContext& context)
    : context_(context), budget_(BurstPerRouter(context.settings), BurstPerRouter(context.settings)) {}

void HealthChecks::Refill() { budget_.Refill(kChecksPerRequest); }

void HealthChecks::Request(Server& server, Micros min_interval, EventScope& scope) {
  HealthCheckState& check = server.health_check;
  if (!context_.settings.health_checks_allowed || check.in_progress || !server.open) return;
  const bool rate_limited = min_interval > 0 && check.sent != kNever;
  if (rate_limited && scope.now - check.sent < std::max(min_interval, check.interval)) return;
  if (!budget_.TryConsume(1)) return;
  check.in_progress = true;
  check.sent = scope.now;
  scope.actions.emplace_back(CheckHealth{server.id});
}

void HealthChecks::UpdateInterval(HealthCheckState& check, bool newer_position) const {
  const Micros shortest = context_.scales.housekeeping_interval;
  const Micros longest = estimates::kHousekeepingRunsPerObjective * shortest;
  const Micros doubled = 2 * std::max(check.interval, shortest);
  check.interval = newer_position ? shortest : std::min(longest, doubled);
}

}  // namespace tulipyoke::endpoints

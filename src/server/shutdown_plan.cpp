#include "src/server/shutdown_plan.hpp"

#include <algorithm>

namespace tulipyoke::net {
namespace {

// The process is killed at the earliest this long after SIGTERM and the longest deadline.
constexpr Micros kMinKillDelay = 700'000;
// A longer deadline counts as this one.
constexpr Micros kMaxCountedDeadline = 3'000'000;
// How long before the kill all is answered, and the process exits.
constexpr Micros kResponseMargin = 300'000;
constexpr Micros kExitMargin = 150'000;

}  // namespace

ShutdownPlan PlanShutdown(const Settings& settings) {
  const Micros kill_time = std::min(LongestDeadline(settings), kMaxCountedDeadline) + kMinKillDelay;
  return {kill_time - kResponseMargin, kill_time - kExitMargin};
}

Micros LongestDeadline(const Settings& settings) {
  Micros longest = 0;
  for (const ClassSettings& request_class : settings.classes) {
    longest = std::max(longest, request_class.deadline);
  }
  return longest;
}

}  // namespace tulipyoke::net

#include "src/server/shutdown_plan.hpp"

#include <algorithm>

namespace tulipyoke::net {
namespace {

// After SIGTERM, the process is killed no earlier than the longest request deadline plus this delay.
constexpr Micros kMinKillDelay = 700'000;
// Longer request deadlines are treated as this one.
constexpr Micros kMaxCountedDeadline = 3'000'000;
// How long before the kill every request has its response, and the process exits.
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

#include "src/server/shutdown_plan.hpp"

#include <algorithm>

namespace tulipyoke::net {
namespace {

// The process is killed at the earliest this long after SIGTERM and the longest deadline.
constexpr Micros kKillAfterDeadline = 700'000;
// A longer deadline counts as this one.
constexpr Micros kLongestCountedDeadline = 3'000'000;
// How long before the kill all is answered, and the process exits.
constexpr Micros kAnswerMargin = 300'000;
constexpr Micros kExitMargin = 150'000;

}  // namespace

ShutdownPlan PlanShutdown(const Settings& settings) {
  const Micros kill = std::min(LongestDeadline(settings), kLongestCountedDeadline) + kKillAfterDeadline;
  return {kill - kAnswerMargin, kill - kExitMargin};
}

Micros LongestDeadline(const Settings& settings) {
  Micros longest = 0;
  for (const ClassSettings& request_class : settings.classes) {
    longest = std::max(longest, request_class.deadline);
  }
  return longest;
}

}  // namespace tulipyoke::net

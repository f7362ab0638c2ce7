#include "src/estimates/time_scales.hpp"

#include <algorithm>

namespace tulipyoke::estimates {
namespace {

// The decay time and the retention of unlisted servers, as a multiple of the longest deadline. A slow server
// is tried again after about that time.
constexpr Micros kDecayDeadlines = 2;

}  // namespace

TimeScales::TimeScales(const Settings& normalized) {
  Micros shortest_objective = kForever;
  for (const ClassSettings& c : normalized.classes) {
    shortest_objective = std::min(shortest_objective, c.latency_objective);
    longest_objective = std::max(longest_objective, c.latency_objective);
    longest_deadline = std::max(longest_deadline, c.deadline);
    if (c.freshness == Freshness::kBounded) {
      tightest_staleness_bound = std::min(tightest_staleness_bound, c.staleness_bound);
    }
  }
  if (shortest_objective == kForever) shortest_objective = 0;
  housekeeping_interval =
      std::max(normalized.clock_resolution, shortest_objective / kHousekeepingRunsPerObjective);
  decay_time = kDecayDeadlines * std::max<Micros>(longest_deadline, 1);
  unlisted_retention = kDecayDeadlines * longest_deadline;
  throughput_window = std::max({normalized.overload_window, normalized.slow_start_window, Micros{1}});
}

Settings Normalized(Settings settings) {
  for (ClassSettings& c : settings.classes) {
    if (c.deadline <= 0) c.deadline = c.latency_objective;
    if (c.latency_objective <= 0) c.latency_objective = c.deadline;
  }
  settings.router_count = std::max(settings.router_count, 1);
  settings.clock_resolution = std::max<Micros>(settings.clock_resolution, 1);
  return settings;
}

}  // namespace tulipyoke::estimates

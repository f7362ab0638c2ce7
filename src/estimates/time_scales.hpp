// The time intervals that a Router uses, derived once from its settings.
#ifndef TULIPYOKE_SRC_ESTIMATES_TIME_SCALES_HPP_
#define TULIPYOKE_SRC_ESTIMATES_TIME_SCALES_HPP_

#include <limits>

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// Later than any time that a Router uses. It is a quarter of the range, so that sums do not overflow.
inline constexpr Micros kForever = std::numeric_limits<Micros>::max() / 4;

// The number of housekeeping runs within the shortest latency objective, so that after a wrong prediction
// of a wait there is still time to choose again.
inline constexpr int kHousekeepingRunsPerObjective = 8;

struct TimeScales {
  explicit TimeScales(const Settings& normalized);

  Micros housekeeping_interval = 0;  // between two housekeeping runs
  Micros longest_objective = 0;
  Micros longest_deadline = 0;
  Micros tightest_staleness_bound = kForever;  // of all bounded classes
  Micros decay_time = 0;                       // time constant for the decay of observations
  Micros unlisted_retention = 0;               // how long a server is kept after it closed
  Micros throughput_window = 0;                // time constant of the throughput of servers
};

// Returns the settings with defaults for classes that have only one of latency objective and deadline, and
// with a positive router count and clock resolution.
Settings Normalized(Settings settings);

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_TIME_SCALES_HPP_

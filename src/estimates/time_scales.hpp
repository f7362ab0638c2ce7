// The time spans by which a Router works, derived once from its settings.
#ifndef TULIPYOKE_SRC_ESTIMATES_TIME_SCALES_HPP_
#define TULIPYOKE_SRC_ESTIMATES_TIME_SCALES_HPP_

#include <limits>

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// Later than any time of a Router; a quarter of the range, so that sums do not overflow.
inline constexpr Micros kForever = std::numeric_limits<Micros>::max() / 4;

// How often housekeeping runs within the shortest latency objective: a wait that was predicted wrongly still
// leaves time for another choice.
inline constexpr int kHousekeepingRunsPerObjective = 8;

struct TimeScales {
  explicit TimeScales(const Settings& normalized);

  Micros housekeeping_interval = 0;  // between two runs of the housekeeping
  Micros longest_objective = 0;
  Micros longest_deadline = 0;
  Micros tightest_staleness_bound = kForever;  // of all bounded classes
  Micros decay_time = 0;                       // an observation that is not confirmed decays over this span
  Micros unlisted_retention = 0;               // a server that is not listed any more is dropped after that
  Micros throughput_window = 0;                // over which finished work is summed up
};

// The settings with defaults where a class has only one of objective and deadline, and with positive counts.
Settings Normalized(Settings settings);

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_TIME_SCALES_HPP_

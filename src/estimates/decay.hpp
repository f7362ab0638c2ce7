// Exponential decay: what an observation still counts for when nothing has confirmed it since.
#ifndef TULIPYOKE_SRC_ESTIMATES_DECAY_HPP_
#define TULIPYOKE_SRC_ESTIMATES_DECAY_HPP_

#include <cmath>

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// Weight of a new sample in a smoothed value: about the last ten samples count.
inline constexpr double kSmoothing = 0.1;

// The weight left after `elapsed`; it falls to 1/e with each `span`. A span of zero means no decay.
inline double DecayFactor(Micros elapsed, Micros time_constant) {
  if (time_constant <= 0) return 1;
  return std::exp(-static_cast<double>(elapsed) / static_cast<double>(time_constant));
}

// The quotient; 0 where the divisor is not positive.
inline double RatioOrZero(double dividend, double divisor) { return divisor > 0 ? dividend / divisor : 0; }

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_DECAY_HPP_

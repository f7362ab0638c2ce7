// Exponential decay: the remaining weight of an observation that no newer one has confirmed.
#ifndef TULIPYOKE_SRC_ESTIMATES_DECAY_HPP_
#define TULIPYOKE_SRC_ESTIMATES_DECAY_HPP_

#include <cmath>

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// The weight of a new sample in an exponential moving average; about the last ten samples count.
inline constexpr double kSmoothing = 0.1;

// The weight that remains after `elapsed`: 1/e after each `time_constant`. A time constant of zero disables
// the decay.
inline double DecayFactor(Micros elapsed, Micros time_constant) {
  if (time_constant <= 0) return 1;
  return std::exp(-static_cast<double>(elapsed) / static_cast<double>(time_constant));
}

// The quotient, or 0 if the divisor is not positive.
inline double RatioOrZero(double dividend, double divisor) { return divisor > 0 ? dividend / divisor : 0; }

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_DECAY_HPP_

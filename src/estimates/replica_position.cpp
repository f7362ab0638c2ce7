#include "src/estimates/replica_position.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::estimates {
namespace {

// The minimum apply rate that is assumed: a replica that has stopped may continue at any moment.
constexpr double kMinApplyRate = 0.05;
// The minimum time between two positions from which a rate is computed, in clock ticks. Over a shorter
// time, rounding errors would dominate.
constexpr int kMinTicksPerRateSample = 10;

}  // namespace

void ReplicaPosition::Observe(Micros now, Micros position, PositionKind kind, Micros lag_free_position,
                              Micros resolution) {
  if (position < 0 || position > lag_free_position) return;
  if (position < position_) return;
  if (position == position_ && kind == PositionKind::kRounded) return;
  const Micros span = now - rate_observed_;
  if (rate_position_ == kNoPosition) {
    rate_position_ = position;
    rate_observed_ = now;
  } else if (span >= kMinTicksPerRateSample * resolution) {
    rate_ = RatioOrZero(static_cast<double>(position - rate_position_), static_cast<double>(span));
    rate_position_ = position;
    rate_observed_ = now;
  }
  position_ = position;
  observed_at_ = now;
}

double ReplicaPosition::PredictedWait(Micros needed, Micros now, Micros decay_time) const {
  if (needed <= position_) return 0;
  const double total_wait = static_cast<double>(needed - position_) / Rate(now, decay_time);
  return std::max(0.0, total_wait - static_cast<double>(now - observed_at_));
}

Micros ReplicaPosition::ObservedLag(Micros position_epoch) const {
  return known() ? observed_at_ - position_epoch - position_ : 0;
}

double ReplicaPosition::Rate(Micros now, Micros decay_time) const {
  return std::max(kMinApplyRate, 1 + (rate_ - 1) * DecayFactor(now - rate_observed_, decay_time));
}

}  // namespace tulipyoke::estimates

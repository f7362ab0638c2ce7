#include "src/limits/admission_control.hpp"

#include <algorithm>
#include <cmath>

#include "src/estimates/decay.hpp"

namespace tulipyoke::limits {
namespace {

// With these two steps, one late response in four is not treated as overload.
constexpr double kIncreaseStep = 0.035;
constexpr double kDecreaseFactor = 0.9;
// Some reads are always admitted so that the router notices when capacity is free again. A minimum of one
// in ten was too small: one of hundreds of routers has few reads in a group and would notice too late.
constexpr double kMinAdmittedShare = 0.3;
// The maximum weight of a response after a gap. One of hundreds of routers sees few responses, and its
// older observations say less than the current one.
constexpr double kMaxSampleWeight = 3.0;

}  // namespace

double AdmissionControl::AdmittedShare(Micros now, Micros decay_time) const {
  const Micros time_constant = std::max<Micros>(decay_time, 1);
  return 1 - (1 - admitted_share_) * estimates::DecayFactor(now - observed_at_, time_constant);
}

void AdmissionControl::Observe(Micros now, Micros decay_time, Micros interval, bool in_time) {
  const double observation_gap =
      static_cast<double>(now - observed_at_) / static_cast<double>(std::max<Micros>(interval, 1));
  const double weight = std::clamp(observation_gap, 1.0, kMaxSampleWeight);
  const double previous = AdmittedShare(now, decay_time);
  admitted_share_ = in_time ? std::min(1.0, previous + weight * kIncreaseStep)
                            : std::max(kMinAdmittedShare, previous * std::pow(kDecreaseFactor, weight));
  observed_at_ = now;
}

bool AdmissionControl::ShouldReject(Micros now, Micros decay_time, double priority, double draw) {
  priorities_[read_count_++ % priorities_.size()] = priority;
  const std::size_t sample_count = std::min(read_count_, priorities_.size());
  double ranked_ahead = 0;  // how many of the newest reads have precedence over this one
  for (std::size_t i = 0; i < sample_count; ++i) {
    if (priorities_[i] > priority) ranked_ahead += 1;
    if (priorities_[i] == priority) ranked_ahead += draw;
  }
  return ranked_ahead / static_cast<double>(sample_count) >= AdmittedShare(now, decay_time);
}

}  // namespace tulipyoke::limits

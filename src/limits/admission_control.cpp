#include "src/limits/admission_control.hpp"

#include <algorithm>
#include <cmath>

#include "src/estimates/decay.hpp"

namespace tulipyoke::limits {
namespace {

// With this growth and this cut, one late answer in four is no sign of overload.
constexpr double kIncreaseStep = 0.035;
constexpr double kDecreaseFactor = 0.9;
// Some reads are always admitted, so that free capacity is noticed: one of hundreds of routers has few reads
// in a group and would notice too late with one in ten.
constexpr double kMinAdmittedShare = 0.3;
// The largest weight of an answer after a silence: one of hundreds of routers sees little, and what it saw a
// while ago says less than what it sees now.
constexpr double kMaxSampleWeight = 3.0;

}  // namespace

double AdmissionControl::AdmittedShare(Micros now, Micros decay_time) const {
  const Micros positive_decay_time = std::max<Micros>(decay_time, 1);
  return 1 - (1 - admitted_share_) * estimates::DecayFactor(now - observed_at_, positive_decay_time);
}

void AdmissionControl::Observe(Micros now, Micros decay_time, Micros interval, bool in_time) {
  const double observation_gap =
      static_cast<double>(now - observed_at_) / static_cast<double>(std::max<Micros>(interval, 1));
  const double weight = std::clamp(observation_gap, 1.0, kMaxSampleWeight);
  const double before = AdmittedShare(now, decay_time);
  admitted_share_ = in_time ? std::min(1.0, before + weight * kIncreaseStep)
                            : std::max(kMinAdmittedShare, before * std::pow(kDecreaseFactor, weight));
  observed_at_ = now;
}

bool AdmissionControl::ShouldReject(Micros now, Micros decay_time, double priority, double draw) {
  priorities_[read_count_++ % priorities_.size()] = priority;
  const std::size_t known = std::min(read_count_, priorities_.size());
  double ranked_ahead = 0;  // of the newest reads, those that go before this one
  for (std::size_t i = 0; i < known; ++i) {
    if (priorities_[i] > priority) ranked_ahead += 1;
    if (priorities_[i] == priority) ranked_ahead += draw;
  }
  return ranked_ahead / static_cast<double>(known) >= AdmittedShare(now, decay_time);
}

}  // namespace tulipyoke::limits

#include "src/limits/admission_control.hpp"

#include <algorithm>
#include <cmath>

#include "src/estimates/decay.hpp"

namespace tulipyoke::limits {
namespace {

// With this growth and this cut, one late answer in four is no sign of overload.
constexpr double kGrowth = 0.035;
constexpr double kCut = 0.9;
// Some reads are always admitted, so that free capacity is noticed: one of hundreds of routers has few reads
// in a group and would notice too late with one in ten.
constexpr double kLeastShare = 0.3;
// The largest weight of an answer after a silence: one of hundreds of routers sees little, and what it saw a
// while ago says less than what it sees now.
constexpr double kMostWeight = 3.0;

}  // namespace

double AdmissionControl::AdmittedShare(Micros now, Micros fade_span) const {
  const Micros span = std::max<Micros>(fade_span, 1);
  return 1 - (1 - admitted_share_) * estimates::Decay(now - observed_, span);
}

void AdmissionControl::Observe(Micros now, Micros fade_span, Micros interval, bool in_time) {
  const double silence =
      static_cast<double>(now - observed_) / static_cast<double>(std::max<Micros>(interval, 1));
  const double weight = std::clamp(silence, 1.0, kMostWeight);
  const double before = AdmittedShare(now, fade_span);
  admitted_share_ = in_time ? std::min(1.0, before + weight * kGrowth)
                            : std::max(kLeastShare, before * std::pow(kCut, weight));
  observed_ = now;
}

bool AdmissionControl::Rejects(Micros now, Micros fade_span, double priority, double draw) {
  priorities_[read_count_++ % priorities_.size()] = priority;
  const std::size_t known = std::min(read_count_, priorities_.size());
  double preferred = 0;  // of the newest reads, those that go before this one
  for (std::size_t i = 0; i < known; ++i) {
    if (priorities_[i] > priority) preferred += 1;
    if (priorities_[i] == priority) preferred += draw;
  }
  return preferred / static_cast<double>(known) >= AdmittedShare(now, fade_span);
}

}  // namespace tulipyoke::limits

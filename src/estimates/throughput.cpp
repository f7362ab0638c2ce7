#include "src/estimates/throughput.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::estimates {
namespace {

// The weight of a new outcome in the failure rate.
constexpr double kFailureWeight = 0.2;

}  // namespace

void Throughput::Add(Micros now, double work, Micros time_constant) {
  rate_ *= DecayFactor(now - updated_, time_constant);
  rate_ += work / static_cast<double>(time_constant);
  updated_ = now;
}

double Throughput::Rate(Micros now, Micros observed_for, Micros time_constant) const {
  const double observed_weight = 1 - DecayFactor(observed_for, time_constant);
  return RatioOrZero(rate_ * DecayFactor(now - updated_, time_constant), observed_weight);
}

double FailureRate::At(Micros now, Micros decay_time) const {
  return share_ * DecayFactor(now - observed_at_, decay_time);
}

void FailureRate::Observe(Micros now, bool failed, Micros decay_time) {
  const double previous = At(now, decay_time);
  share_ = previous + kFailureWeight * ((failed ? 1 : 0) - previous);
  observed_at_ = now;
}

void ReportedQueue::Observe(Micros now, double length) {
  length_ = length;
  observed_at_ = now;
}

double ReportedQueue::RemainingWork(Micros now, double concurrency, double expected) const {
  const double work = length_ / concurrency * expected;
  return std::max(0.0, work - static_cast<double>(now - observed_at_));
}

void ServiceConcurrency::Observe(double in_service) {
  value_ += kSmoothing * (std::max(1.0, in_service) - value_);
}

}  // namespace tulipyoke::estimates

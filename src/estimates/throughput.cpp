#include "src/estimates/throughput.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::estimates {
namespace {

// Weight of a new outcome in the share of attempts that fail.
constexpr double kFailureWeight = 0.2;

}  // namespace

void Throughput::Add(Micros now, double work, Micros span) {
  rate_ *= Decay(now - updated_, span);
  rate_ += work / static_cast<double>(span);
  updated_ = now;
}

double Throughput::Rate(Micros now, Micros known_for, Micros span) const {
  const double counted = 1 - Decay(known_for, span);
  return RatioOrZero(rate_ * Decay(now - updated_, span), counted);
}

double FailureShare::At(Micros now, Micros fade_span) const {
  return share_ * Decay(now - observed_, fade_span);
}

void FailureShare::Observe(Micros now, bool failed, Micros fade_span) {
  const double before = At(now, fade_span);
  share_ = before + kFailureWeight * ((failed ? 1 : 0) - before);
  observed_ = now;
}

void ReportedQueue::Observe(Micros now, double length) {
  length_ = length;
  observed_ = now;
}

double ReportedQueue::RemainingWork(Micros now, double concurrency, double expected) const {
  const double work = length_ / concurrency * expected;
  return std::max(0.0, work - static_cast<double>(now - observed_));
}

void ServiceConcurrency::Observe(double in_service) {
  value_ += kSmoothing * (std::max(1.0, in_service) - value_);
}

}  // namespace tulipyoke::estimates

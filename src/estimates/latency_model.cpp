#include "src/estimates/latency_model.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::estimates {
namespace {

// The share of the latency objective that is assumed as the typical latency of a class before its first
// response.
constexpr double kInitialObjectiveShare = 0.25;
// The maximum weight of a sample after a gap. One of hundreds of routers sees few responses, and its older
// observations say less than the current one.
constexpr double kMaxWeightAfterGap = 0.5;

}  // namespace

double LatencyRatio::At(Micros now, Micros decay_time) const {
  return 1 + (value_ - 1) * DecayFactor(now - observed_at_, decay_time);
}

void LatencyRatio::Observe(Micros now, const TimeScales& scales, double ratio) {
  const double previous = At(now, scales.decay_time);
  const double observation_gap = 1 - DecayFactor(now - observed_at_, scales.longest_objective);
  const double weight = std::max(kSmoothing, kMaxWeightAfterGap * observation_gap);
  value_ = previous + weight * (ratio - previous);
  observed_at_ = now;
}

LatencyModel::LatencyModel(const Settings& settings, const TimeScales& scales) : scales_(scales) {
  for (const ClassSettings& c : settings.classes) {
    typical_latencies_.push_back(kInitialObjectiveShare * static_cast<double>(c.latency_objective));
  }
}

double LatencyModel::ExpectedLatency(const LatencyRatio& server, int class_index, Micros now) const {
  return TypicalLatency(class_index) * server.At(now, scales_.decay_time);
}

double LatencyModel::RemainingWork(const InFlightAttempts& attempts, const LatencyRatio& server,
                                   Micros now) const {
  if (attempts.empty()) return 0;
  const double latency_ratio = server.At(now, scales_.decay_time);
  double sum = 0;
  for (const InFlightAttempt& attempt : attempts) {
    const double expected = TypicalLatency(attempt.class_index) * latency_ratio;
    sum += std::max(0.0, expected - static_cast<double>(now - attempt.sent));
  }
  return sum;
}

void LatencyModel::AddSample(LatencyRatio& server, int class_index, Micros elapsed, Micros now) {
  double& typical = typical_latencies_[static_cast<std::size_t>(class_index)];
  const double sample = static_cast<double>(std::max<Micros>(elapsed, 1));
  const double latency_ratio = server.At(now, scales_.decay_time);
  server.Observe(now, scales_, sample / std::max(typical, 1.0));
  typical += kSmoothing * kSmoothing * (sample / latency_ratio - typical);
}

}  // namespace tulipyoke::estimates

#include "src/estimates/latency_model.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::estimates {
namespace {

// The part of its latency objective that a class is taken to need before its first answer.
constexpr double kInitialShareOfObjective = 0.25;
// The largest weight of a sample that comes after a silence: one of hundreds of routers sees little, and what
// it saw a while ago says less than what it sees now.
constexpr double kWeightAfterSilence = 0.5;

}  // namespace

double Slowness::At(Micros now, Micros fade_span) const {
  return 1 + (value_ - 1) * Decay(now - observed_, fade_span);
}

void Slowness::Observe(Micros now, const TimeScales& scales, double ratio) {
  const double before = At(now, scales.fade_span);
  const double silence = 1 - Decay(now - observed_, scales.longest_objective);
  const double weight = std::max(kSmoothing, kWeightAfterSilence * silence);
  value_ = before + weight * (ratio - before);
  observed_ = now;
}

LatencyModel::LatencyModel(const Settings& settings, const TimeScales& scales) : scales_(scales) {
  for (const ClassSettings& c : settings.classes) {
    usual_.push_back(kInitialShareOfObjective * static_cast<double>(c.latency_objective));
  }
}

double LatencyModel::Expected(const Slowness& server, int class_index, Micros now) const {
  return Usual(class_index) * server.At(now, scales_.fade_span);
}

double LatencyModel::RemainingWork(const InFlightAttempts& attempts, const Slowness& server,
                                   Micros now) const {
  if (attempts.empty()) return 0;
  const double slowness = server.At(now, scales_.fade_span);
  double sum = 0;
  for (const InFlightAttempt& attempt : attempts) {
    const double expected = Usual(attempt.class_index) * slowness;
    sum += std::max(0.0, expected - static_cast<double>(now - attempt.sent));
  }
  return sum;
}

void LatencyModel::Learn(Slowness& server, int class_index, Micros elapsed, Micros now) {
  double& usual = usual_[static_cast<std::size_t>(class_index)];
  const double sample = static_cast<double>(std::max<Micros>(elapsed, 1));
  const double slowness = server.At(now, scales_.fade_span);
  server.Observe(now, scales_, sample / std::max(usual, 1.0));
  usual += kSmoothing * kSmoothing * (sample / slowness - usual);
}

}  // namespace tulipyoke::estimates

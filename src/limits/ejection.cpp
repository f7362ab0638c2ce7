#include "src/limits/ejection.hpp"

#include <algorithm>

namespace tulipyoke::limits {
namespace {

constexpr double kBackoffFactor = 2.0;
// The backoff is multiplied by a draw from this on, up to one more.
constexpr double kLeastJitter = 0.5;

}  // namespace

bool Ejection::Eject(Micros now, OutlierSign sign, const estimates::TimeScales& scales,
                     estimates::Random& random) {
  unreachable_ = unreachable_ || sign == OutlierSign::kUnreachable;
  if (ejected_ && InBackoff(now)) return false;
  if (!ejected_) first_ejected_ = now;
  ejected_ = true;
  since_ = now;
  BackOff(now, scales, random);
  return true;
}

void Ejection::BackOff(Micros now, const estimates::TimeScales& scales, estimates::Random& random) {
  const auto longer = static_cast<Micros>(kBackoffFactor * static_cast<double>(backoff_));
  const Micros longest = std::max(scales.check_interval, scales.longest_objective);
  backoff_ = std::clamp(longer, scales.check_interval, longest);
  const double jitter = kLeastJitter + random.Fraction();
  next_attempt_ = now + static_cast<Micros>(jitter * static_cast<double>(backoff_));
}

bool Ejection::Answered(Micros now, Micros restart_time) {
  backoff_ = 0;
  return ejected_ && unreachable_ && now - first_ejected_ > restart_time;
}

void Ejection::Reinstate() {
  ejected_ = false;
  unreachable_ = false;
}

void Ejection::Restarted(Micros when) {
  backoff_ = 0;
  next_attempt_ = 0;
  if (when > since_) Reinstate();
}

}  // namespace tulipyoke::limits

#include "src/limits/ejection.hpp"

#include <algorithm>

namespace tulipyoke::limits {
namespace {

constexpr double kBackoffFactor = 2.0;
// Each backoff is multiplied by a random factor between kMinJitter and kMinJitter + 1.
constexpr double kMinJitter = 0.5;

}  // namespace

bool Ejection::Eject(Micros now, EjectionReason reason, const estimates::TimeScales& scales,
                     estimates::Random& random) {
  unreachable_ = unreachable_ || reason == EjectionReason::kUnreachable;
  if (ejected_ && InBackoff(now)) return false;
  if (!ejected_) first_ejected_ = now;
  ejected_ = true;
  last_ejected_ = now;
  StartBackoff(now, scales, random);
  return true;
}

void Ejection::StartBackoff(Micros now, const estimates::TimeScales& scales, estimates::Random& random) {
  const auto doubled = static_cast<Micros>(kBackoffFactor * static_cast<double>(backoff_));
  const Micros longest = std::max(scales.housekeeping_interval, scales.longest_objective);
  backoff_ = std::clamp(doubled, scales.housekeeping_interval, longest);
  const double jitter = kMinJitter + random.NextDouble();
  next_attempt_ = now + static_cast<Micros>(jitter * static_cast<double>(backoff_));
}

bool Ejection::OnResponse(Micros now, Micros restart_time) {
  backoff_ = 0;
  return ejected_ && unreachable_ && now - first_ejected_ > restart_time;
}

void Ejection::Reinstate() {
  ejected_ = false;
  unreachable_ = false;
}

void Ejection::OnRestart(Micros when) {
  backoff_ = 0;
  next_attempt_ = 0;
  if (when > last_ejected_) Reinstate();
}

}  // namespace tulipyoke::limits

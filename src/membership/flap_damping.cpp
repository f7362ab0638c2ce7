#include "src/membership/flap_damping.hpp"

#include <algorithm>
#include <cmath>

namespace tulipyoke::membership {

double PenaltyAt(const FlapDampingOptions& options, const FlapHistory& history, Micros now) {
  const auto half_lives = static_cast<double>(std::max<Micros>(0, now - history.updated_at)) /
                          static_cast<double>(options.half_life);
  return history.penalty * std::exp2(-half_lives);
}

bool RecordWithdrawal(const FlapDampingOptions& options, FlapHistory& history, Micros now) {
  history.penalty = std::min(options.max_penalty, PenaltyAt(options, history, now) + 1);
  history.updated_at = now;
  const bool newly_suppressed = !history.suppressed && history.penalty > options.suppress_threshold;
  history.suppressed = history.suppressed || newly_suppressed;
  return newly_suppressed;
}

Micros ReuseTime(const FlapDampingOptions& options, const FlapHistory& history) {
  if (!history.suppressed || history.penalty <= options.reuse_threshold) return history.updated_at;
  const double half_lives = std::log2(history.penalty / options.reuse_threshold);
  return history.updated_at +
         static_cast<Micros>(std::ceil(half_lives * static_cast<double>(options.half_life)));
}

void UpdateSuppression(const FlapDampingOptions& options, FlapHistory& history, Micros now) {
  if (history.suppressed && now >= ReuseTime(options, history)) history.suppressed = false;
}

}  // namespace tulipyoke::membership

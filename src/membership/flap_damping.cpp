#include "src/membership/flap_damping.hpp"

#include <algorithm>
#include <cmath>

namespace tulipyoke::membership {

double FlapHistory::PenaltyAt(const FlapDampingOptions& options, Micros now) const {
  const auto elapsed = static_cast<double>(std::max<Micros>(0, now - updated_at_));
  const double half_lives = elapsed / static_cast<double>(options.half_life);
  return penalty_ * std::exp2(-half_lives);
}

bool FlapHistory::RecordWithdrawal(const FlapDampingOptions& options, Micros now) {
  penalty_ = std::min(options.max_penalty, PenaltyAt(options, now) + 1);
  updated_at_ = now;
  const bool newly_suppressed = !suppressed_ && penalty_ > options.suppress_threshold;
  suppressed_ = suppressed_ || newly_suppressed;
  return newly_suppressed;
}

Micros FlapHistory::ReuseTime(const FlapDampingOptions& options) const {
  if (!suppressed_ || penalty_ <= options.reuse_threshold) return updated_at_;
  const double half_lives = std::log2(penalty_ / options.reuse_threshold);
  return updated_at_ + static_cast<Micros>(std::ceil(half_lives * static_cast<double>(options.half_life)));
}

void FlapHistory::Update(const FlapDampingOptions& options, Micros now) {
  if (suppressed_ && now >= ReuseTime(options)) suppressed_ = false;
}

}  // namespace tulipyoke::membership

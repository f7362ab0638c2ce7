#include "src/limits/primary_headroom.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::limits {
namespace {

// The share grows by the step with each fast answer and is multiplied by the cut with each slow one. The
// steps are large, since one of hundreds of routers sees few answers, and balanced so that one slow answer in
// six is no sign of load.
constexpr double kIncreaseStep = 0.1;
constexpr double kDecreaseFactor = 0.5;
// Of the reads that would be rejected, all routers together give this share to a primary of which nothing is
// known.
constexpr double kInitialShare = 0.5;

}  // namespace

double PrimaryHeadroom::Share(Micros now, Micros decay_time, int router_count) const {
  const double initial = kInitialShare / std::max(router_count, 1);
  const Micros positive_decay_time = std::max<Micros>(decay_time, 1);
  return initial + (share_ - initial) * estimates::DecayFactor(now - observed_at_, positive_decay_time);
}

void PrimaryHeadroom::Observe(Micros now, Micros decay_time, int router_count,
                              const PrimaryResponse& response) {
  share_ = Share(now, decay_time, router_count);
  observed_at_ = now;
  if (response.fast) share_ = std::min(1.0, share_ + kIncreaseStep);
  if (response.slow) share_ *= kDecreaseFactor;
}

}  // namespace tulipyoke::limits

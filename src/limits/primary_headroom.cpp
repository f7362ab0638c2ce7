#include "src/limits/primary_headroom.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::limits {
namespace {

// A fast response adds kIncreaseStep to the share, and a slow one multiplies it by kDecreaseFactor. The
// steps are large because one of hundreds of routers sees few responses, and balanced so that one slow
// response in six is not treated as load.
constexpr double kIncreaseStep = 0.1;
constexpr double kDecreaseFactor = 0.5;
// The share of the reads that would otherwise be rejected that all routers together send to a primary
// without observations.
constexpr double kInitialShare = 0.5;

}  // namespace

double PrimaryHeadroom::Share(Micros now, Micros decay_time, int router_count) const {
  const double initial = kInitialShare / std::max(router_count, 1);
  const Micros time_constant = std::max<Micros>(decay_time, 1);
  return initial + (share_ - initial) * estimates::DecayFactor(now - observed_at_, time_constant);
}

void PrimaryHeadroom::Observe(Micros now, Micros decay_time, int router_count,
                              const PrimaryResponse& response) {
  share_ = Share(now, decay_time, router_count);
  observed_at_ = now;
  if (response.fast) share_ = std::min(1.0, share_ + kIncreaseStep);
  if (response.slow) share_ *= kDecreaseFactor;
}

}  // namespace tulipyoke::limits

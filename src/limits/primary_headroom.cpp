#include "src/limits/primary_headroom.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::limits {
namespace {

// The share grows by the step with each quick answer and is multiplied by the cut with each slow one. The
// steps are large, since one of hundreds of routers sees few answers, and balanced so that one slow answer in
// six is no sign of load.
constexpr double kGrowth = 0.1;
constexpr double kCut = 0.5;
// Of the reads that would be rejected, all routers together give this share to a primary of which nothing is
// known.
constexpr double kInitialShare = 0.5;

}  // namespace

double PrimaryHeadroom::Share(Micros now, Micros fade_span, int router_count) const {
  const double initial = kInitialShare / std::max(router_count, 1);
  const Micros span = std::max<Micros>(fade_span, 1);
  return initial + (share_ - initial) * estimates::Decay(now - observed_, span);
}

void PrimaryHeadroom::Observe(Micros now, Micros fade_span, int router_count, const PrimaryAnswer& answer) {
  share_ = Share(now, fade_span, router_count);
  observed_ = now;
  if (answer.quick) share_ = std::min(1.0, share_ + kGrowth);
  if (answer.slow) share_ *= kCut;
}

}  // namespace tulipyoke::limits

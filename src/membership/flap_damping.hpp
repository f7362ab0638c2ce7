// Holding down what comes and goes, after the damping of routes (RFC 2439, 4.2): each time a server vanishes
// adds a penalty, which halves with time; over one mark it is held out, and let back in under a lower one.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

struct FlapDampingOptions {
  double suppress_threshold = 3.5;  // in times that it vanished, freshly counted
  double reuse_threshold = 1.0;     // below `suppress_threshold`
  double max_penalty = 8;           // penalties never add up to more, so that the longest hold is bounded
  Micros half_life = 20'000'000;
};

struct FlapHistory {
  double penalty = 0;
  Micros updated_at = 0;  // when `penalty` was right
  bool suppressed = false;
};

double PenaltyAt(const FlapDampingOptions& options, const FlapHistory& history, Micros now);
// It vanished once more. True: it is held down by this.
bool RecordWithdrawal(const FlapDampingOptions& options, FlapHistory& history, Micros now);
// When a held one is free, as things are; it is not held any more from then on.
Micros ReuseTime(const FlapDampingOptions& options, const FlapHistory& history);
void UpdateSuppression(const FlapDampingOptions& options, FlapHistory& history, Micros now);

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_

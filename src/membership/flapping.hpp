// Holding down what comes and goes, after the damping of routes (RFC 2439, 4.2): each time a server vanishes
// adds a penalty, which halves with time; over one mark it is held out, and let back in under a lower one.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_FLAPPING_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_FLAPPING_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

struct FlapOptions {
  double hold_over = 3.5;   // in times that it vanished, freshly counted
  double free_under = 1.0;  // below `hold_over`
  double most = 8;          // penalties never add up to more, so that the longest hold is bounded
  Micros half_life = 20'000'000;
};

struct FlapRecord {
  double penalty = 0;
  Micros counted = 0;  // when `penalty` was right
  bool held = false;
};

double PenaltyAt(const FlapOptions& options, const FlapRecord& record, Micros now);
// It vanished once more. True: it is held down by this.
bool Vanished(const FlapOptions& options, FlapRecord& record, Micros now);
// When a held one is free, as things are; it is not held any more from then on.
Micros FreeAt(const FlapOptions& options, const FlapRecord& record);
void Review(const FlapOptions& options, FlapRecord& record, Micros now);

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_FLAPPING_HPP_

// Flap damping as described in RFC 2439, section 4.2. Each withdrawal of a server adds to its penalty, which
// decays exponentially. A server is suppressed once its penalty exceeds the suppress threshold, and is reused
// when the penalty has decayed to the lower reuse threshold.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

// Penalties are measured in withdrawals: each withdrawal adds 1.
struct FlapDampingOptions {
  double suppress_threshold = 3.5;
  double reuse_threshold = 1.0;  // must be below `suppress_threshold`
  double max_penalty = 8;        // limits how long a suppression can last
  Micros half_life = 20'000'000;
};

// Tracks the flapping of one server. Times are in microseconds.
class FlapHistory {
 public:
  // Adds the penalty for one withdrawal. Returns true if this withdrawal starts a suppression.
  bool RecordWithdrawal(const FlapDampingOptions& options, Micros now);
  // Ends the suppression if the reuse time has been reached.
  void Update(const FlapDampingOptions& options, Micros now);
  // Returns when the suppression ends, provided that there is no further withdrawal. Returns the time of the
  // last withdrawal if the server is not suppressed.
  Micros ReuseTime(const FlapDampingOptions& options) const;
  bool suppressed() const { return suppressed_; }

 private:
  double PenaltyAt(const FlapDampingOptions& options, Micros now) const;

  double penalty_ = 0;     // at the time `updated_at_`
  Micros updated_at_ = 0;  // time of the last withdrawal
  bool suppressed_ = false;
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_

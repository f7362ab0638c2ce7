// Flap damping after RFC 2439, section 4.2: each time that a server vanishes adds a penalty, which decays
// exponentially. A server whose penalty exceeds one threshold is suppressed, and used again when the penalty
// has decayed to a lower one.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

// Penalties are in withdrawals: one that happens now adds 1.
struct FlapDampingOptions {
  double suppress_threshold = 3.5;
  double reuse_threshold = 1.0;  // below `suppress_threshold`
  double max_penalty = 8;        // bounds the longest suppression
  Micros half_life = 20'000'000;
};

// The flapping of one server. Times are microseconds.
class FlapHistory {
 public:
  // Adds the penalty for one withdrawal. Returns true if the server is suppressed from now on and was not.
  bool RecordWithdrawal(const FlapDampingOptions& options, Micros now);
  // Ends the suppression if its time has come.
  void Update(const FlapDampingOptions& options, Micros now);
  // When the suppression ends if there is no further withdrawal.
  Micros ReuseTime(const FlapDampingOptions& options) const;
  bool suppressed() const { return suppressed_; }

 private:
  double PenaltyAt(const FlapDampingOptions& options, Micros now) const;

  double penalty_ = 0;     // as of `updated_at_`
  Micros updated_at_ = 0;  // of the last withdrawal
  bool suppressed_ = false;
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_FLAP_DAMPING_HPP_

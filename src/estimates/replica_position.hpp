// The replication position of one server and the rate at which it applies changes.
//
// A position is the commit time of the newest applied change, in microseconds after
// Settings::position_epoch.
#ifndef TULIPYOKE_SRC_ESTIMATES_REPLICA_POSITION_HPP_
#define TULIPYOKE_SRC_ESTIMATES_REPLICA_POSITION_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// Older than every position, so that an unknown position compares as too old. As a required position, it
// means that none is required.
inline constexpr Micros kNoPosition = -1;

// An exact position that equals the known one updates its observation time; a rounded one does not.
enum class PositionKind { kExact, kRounded };

class ReplicaPosition {
 public:
  // Records a position. It is ignored if it is later than `lag_free_position`, that of a server without lag,
  // or older than the known one. `resolution` is the clock resolution.
  void Observe(Micros now, Micros position, PositionKind kind, Micros lag_free_position, Micros resolution);
  // Resets the apply rate to 1 after a restart of the server.
  void ResetApplyRate() { rate_ = 1; }

  bool known() const { return position_ != kNoPosition; }
  Micros value() const { return position_; }
  Micros observed_at() const { return observed_at_; }
  // The expected time until the server has applied `needed`, in microseconds. The apply rate decays to 1
  // with `decay_time` without new observations; otherwise a replica that once stopped would never be
  // selected again.
  double PredictedWait(Micros needed, Micros now, Micros decay_time) const;
  // The replication lag at the time of the observation, or 0 if the position is unknown.
  Micros ObservedLag(Micros position_epoch) const;

 private:
  double Rate(Micros now, Micros decay_time) const;

  Micros position_ = kNoPosition;
  Micros observed_at_ = 0;
  // Applied time per elapsed time, and the observation from which the next rate is measured.
  double rate_ = 1;
  Micros rate_position_ = kNoPosition;
  Micros rate_observed_ = 0;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_REPLICA_POSITION_HPP_

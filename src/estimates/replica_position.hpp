// The replication position of one server and the rate at which it applies changes.
//
// A position is the commit time of the newest change that is applied, in microseconds after
// Settings::position_epoch.
#ifndef TULIPYOKE_SRC_ESTIMATES_REPLICA_POSITION_HPP_
#define TULIPYOKE_SRC_ESTIMATES_REPLICA_POSITION_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// Older than every position, so that positions that are not known compare as too old; as a required position:
// none is required.
inline constexpr Micros kNoPosition = -1;

// An exact position replaces an equal one, which dates it anew; one that was rounded does not.
enum class PositionKind { kExact, kRounded };

class ReplicaPosition {
 public:
  // Notes a position. One that lies after `present`, the position of a server without lag, is ignored, as is
  // one older than what was observed before. `resolution` is that of the clock.
  void Observe(Micros now, Micros position, PositionKind kind, Micros present, Micros resolution);
  // The server has been restarted: it applies at the usual rate again.
  void ResetApplyRate() { rate_ = 1; }

  bool known() const { return position_ != kNoPosition; }
  Micros value() const { return position_; }
  Micros observed_at() const { return observed_at_; }
  // The time until the server is expected to have applied `needed`, in microseconds. A rate that was not
  // confirmed for `decay_time` fades to 1: a replica that once stood still would never be asked again.
  double PredictedWait(Micros needed, Micros now, Micros decay_time) const;
  // How far it was behind when it was observed; 0 where it is not known.
  Micros ObservedLag(Micros position_epoch) const;

 private:
  double Rate(Micros now, Micros decay_time) const;

  Micros position_ = kNoPosition;
  Micros observed_at_ = 0;
  // Applied time per elapsed time, measured from this observation on.
  double rate_ = 1;
  Micros rate_position_ = kNoPosition;
  Micros rate_observed_ = 0;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_REPLICA_POSITION_HPP_

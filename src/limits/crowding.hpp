// How many of a group's reads its replicas are given, and which go first.
//
// A read that is turned away comes back once its client has waited, and by then its aim has gone by or nearly
// so. Where as many first tries are turned away as further ones are taken, a crowded group spends what it can
// do on answers that earn little or nothing. So further tries are turned away first.
#ifndef TULIPYOKE_SRC_LIMITS_CROWDING_HPP_
#define TULIPYOKE_SRC_LIMITS_CROWDING_HPP_

#include <array>
#include <cstddef>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// Tells a client's first try from a further one: what is left of its wait is shorter than that of most.
class FirstTries {
 public:
  // Notes a request of the class; true where half of its aim, or more, must have gone by since its first try.
  bool IsLate(Micros remaining, Micros aim);

 private:
  std::array<Micros, 16> seen_{};  // the newest
  std::size_t count_ = 0;
};

// The share of a group's reads that is admitted: it grows with each answer in time and falls with each late
// one.
class Crowding {
 public:
  // `span`: what nothing confirms fades over that time.
  double Admitted(Micros now, Micros span) const;
  // An answer; one after a silence counts for as many as come at every `gap`, up to a few.
  void Answered(Micros now, Micros span, Micros gap, bool in_time);
  // Whether to turn a read away whose answer earns so much; `chance` is drawn from [0, 1). Those that earn
  // less make room for the others.
  bool TurnsAway(Micros now, Micros span, double earns, double chance);

 private:
  double admit_ = 1;
  Micros heard_ = 0;
  std::array<double, 32> earns_{};  // what the newest reads earn
  std::size_t count_ = 0;
};

// The share of the reads turned away that a group's primary is given.
class SpareRoom {
 public:
  // Of a primary that has not answered of late, each router takes its part of the first share.
  double Share(Micros now, Micros span, int gateways) const;
  // It answered, quickly or slowly; one that was neither tells nothing.
  void Answered(Micros now, Micros span, int gateways, bool quick, bool slow);

 private:
  double share_ = 0;
  Micros heard_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_CROWDING_HPP_

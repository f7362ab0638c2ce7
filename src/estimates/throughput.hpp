// The throughput, failure rate and reported queue of one server, as seen by this router.
#ifndef TULIPYOKE_SRC_ESTIMATES_THROUGHPUT_HPP_
#define TULIPYOKE_SRC_ESTIMATES_THROUGHPUT_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// Finished work per microsecond, as an exponentially decaying sum.
class Throughput {
 public:
  // Adds finished work, in microseconds of typical latency.
  void Add(Micros now, double work, Micros time_constant);
  // `observed_for` is how long work has been counted. It corrects the sum while that is short compared with
  // `time_constant`.
  double Rate(Micros now, Micros observed_for, Micros time_constant) const;

 private:
  double rate_ = 0;
  Micros updated_ = 0;
};

// The smoothed fraction of attempts that fail. It decays, so that the server is tried again.
class FailureRate {
 public:
  double At(Micros now, Micros decay_time) const;
  void Observe(Micros now, bool failed, Micros decay_time);
  // Resets the rate after a restart of the server.
  void Reset() { share_ = 0; }

 private:
  double share_ = 0;
  Micros observed_at_ = 0;
};

// The number of requests of all routers that wait at a server, as last reported.
class ReportedQueue {
 public:
  void Observe(Micros now, double length);
  // Clears the queue after a restart of the server.
  void Reset() { length_ = 0; }
  double length() const { return length_; }
  Micros Age(Micros now) const { return now - observed_at_; }
  // The time until the queue is empty, in microseconds, if `concurrency` requests that take `expected` each
  // are served at the same time.
  double RemainingWork(Micros now, double concurrency, double expected) const;

 private:
  double length_ = 0;
  Micros observed_at_ = 0;
};

// The number of requests that servers serve at the same time while others wait, smoothed over all reports.
class ServiceConcurrency {
 public:
  void Observe(double in_service);
  double value() const { return value_; }

 private:
  double value_ = 1;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_THROUGHPUT_HPP_

// What one server does for this router: finished work, failed attempts and the queue that it reports.
#ifndef TULIPYOKE_SRC_ESTIMATES_THROUGHPUT_HPP_
#define TULIPYOKE_SRC_ESTIMATES_THROUGHPUT_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// Work finished per microsecond, as an exponentially decaying sum.
class Throughput {
 public:
  // Notes finished work, in microseconds of usual time.
  void Add(Micros now, double work, Micros window);
  // `observed_for`: how long work has been counted here; the sum of a short time stands for less than a span.
  double Rate(Micros now, Micros observed_for, Micros window) const;

 private:
  double rate_ = 0;
  Micros updated_ = 0;
};

// The smoothed share of attempts that fail. It fades, so that the server is tried again.
class FailureRate {
 public:
  double At(Micros now, Micros decay_time) const;
  void Observe(Micros now, bool failed, Micros decay_time);
  // The server has been restarted.
  void Reset() { share_ = 0; }

 private:
  double share_ = 0;
  Micros observed_at_ = 0;
};

// The requests of all routers that wait at a server, as it last reported them.
class ReportedQueue {
 public:
  void Observe(Micros now, double length);
  // The server has been restarted.
  void Reset() { length_ = 0; }
  double length() const { return length_; }
  Micros Age(Micros now) const { return now - observed_at_; }
  // What is left of it, in microseconds, when `concurrency` requests of `expected` time are served at once.
  double RemainingWork(Micros now, double concurrency, double expected) const;

 private:
  double length_ = 0;
  Micros observed_at_ = 0;
};

// How many requests servers have in service at once while others wait, smoothed over all reports.
class ServiceConcurrency {
 public:
  void Observe(double in_service);
  double value() const { return value_; }

 private:
  double value_ = 1;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_THROUGHPUT_HPP_

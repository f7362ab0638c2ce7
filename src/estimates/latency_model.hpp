// Expected response times. A request's time is modelled as the usual time of its class multiplied by
// the latency_ratio of its server. The two are learned apart, so that a class which only busy servers can
// take does not look slow by itself.
#ifndef TULIPYOKE_SRC_ESTIMATES_LATENCY_MODEL_HPP_
#define TULIPYOKE_SRC_ESTIMATES_LATENCY_MODEL_HPP_

#include <vector>

#include "src/estimates/in_flight.hpp"
#include "src/estimates/time_scales.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// The response time of one server relative to the usual one; it fades to 1 when nothing confirms it.
class LatencyRatio {
 public:
  double At(Micros now, Micros decay_time) const;
  // Notes an answer that took `ratio` times the usual. After a silence it counts for more than one of many.
  void Observe(Micros now, const TimeScales& scales, double ratio);
  // The server has been restarted.
  void Reset() { value_ = 1; }

 private:
  double value_ = 1;
  Micros observed_at_ = 0;
};

// The usual times of all classes, in microseconds.
class LatencyModel {
 public:
  LatencyModel(const Settings& settings, const TimeScales& scales);

  double TypicalLatency(int class_index) const {
    return typical_latencies_[static_cast<std::size_t>(class_index)];
  }
  // The time that the server is expected to take for a request of the class.
  double ExpectedLatency(const LatencyRatio& server, int class_index, Micros now) const;
  // The time that the attempts in flight at the server are expected to take from now on.
  double RemainingWork(const InFlightAttempts& attempts, const LatencyRatio& server, Micros now) const;
  // Notes an answer, or the least time that an attempt must have taken.
  void AddSample(LatencyRatio& server, int class_index, Micros elapsed, Micros now);

 private:
  TimeScales scales_;
  std::vector<double> typical_latencies_;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_LATENCY_MODEL_HPP_

// Expected response times. The latency of a request is modelled as the typical latency of its class
// multiplied by the latency ratio of its server. The two are estimated separately, so that a class that
// only busy servers can serve is not itself considered slow.
#ifndef TULIPYOKE_SRC_ESTIMATES_LATENCY_MODEL_HPP_
#define TULIPYOKE_SRC_ESTIMATES_LATENCY_MODEL_HPP_

#include <vector>

#include "src/estimates/in_flight.hpp"
#include "src/estimates/time_scales.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::estimates {

// The latency of one server relative to the typical latency. It decays to 1 without new observations.
class LatencyRatio {
 public:
  double At(Micros now, Micros decay_time) const;
  // Records a response that took `ratio` times the typical latency. After a gap without responses its
  // weight is larger.
  void Observe(Micros now, const TimeScales& scales, double ratio);
  // Resets the ratio after a restart of the server.
  void Reset() { value_ = 1; }

 private:
  double value_ = 1;
  Micros observed_at_ = 0;
};

// The typical latencies of all classes, in microseconds.
class LatencyModel {
 public:
  LatencyModel(const Settings& settings, const TimeScales& scales);

  double TypicalLatency(int class_index) const {
    return typical_latencies_[static_cast<std::size_t>(class_index)];
  }
  // The time that the server is expected to need for a request of the class.
  double ExpectedLatency(const LatencyRatio& server, int class_index, Micros now) const;
  // The time that the server is expected to need from now on for its attempts in flight.
  double RemainingWork(const InFlightAttempts& attempts, const LatencyRatio& server, Micros now) const;
  // Records the latency of a response, or a lower bound of it for an attempt that timed out.
  void AddSample(LatencyRatio& server, int class_index, Micros elapsed, Micros now);

 private:
  TimeScales scales_;
  std::vector<double> typical_latencies_;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_LATENCY_MODEL_HPP_

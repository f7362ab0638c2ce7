// Distinguishes a client's first attempt from its retries by the remaining time that the request states.
#ifndef TULIPYOKE_SRC_LIMITS_RETRY_DETECTOR_HPP_
#define TULIPYOKE_SRC_LIMITS_RETRY_DETECTOR_HPP_

#include <array>
#include <cstddef>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// Kept per request class: a retry has less time left than most requests of its class.
class RetryDetector {
 public:
  // Records a request whose client waits for `remaining` more. Returns true if half of the latency
  // objective or more must have passed since the client's first attempt.
  bool IsLateRetry(Micros remaining, Micros latency_objective);

 private:
  static constexpr std::size_t kRequestHistorySize = 16;

  std::array<Micros, kRequestHistorySize> waits_{};  // ring buffer of the newest requests
  std::size_t count_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_RETRY_DETECTOR_HPP_

// Tells the first attempt of a client from its retries by the time that it states to wait.
#ifndef TULIPYOKE_SRC_LIMITS_RETRY_DETECTOR_HPP_
#define TULIPYOKE_SRC_LIMITS_RETRY_DETECTOR_HPP_

#include <array>
#include <cstddef>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// One per request class: what is left of a retry's wait is shorter than the wait of most requests.
class RetryDetector {
 public:
  // Notes a request that is waited for `remaining` more. True where half of its latency objective, or more,
  // must have passed since its first attempt.
  bool IsLateRetry(Micros remaining, Micros latency_objective);

 private:
  static constexpr std::size_t kRequestHistorySize = 16;

  std::array<Micros, kRequestHistorySize> waits_{};  // of the newest requests
  std::size_t count_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_RETRY_DETECTOR_HPP_

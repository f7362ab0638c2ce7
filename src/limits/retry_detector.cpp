#include "src/limits/retry_detector.hpp"

#include <algorithm>

namespace tulipyoke::limits {
namespace {

// At most this percentage of the requests of a class is assumed to be retries.
constexpr std::size_t kMaxRetryPercent = 75;

}  // namespace

bool RetryDetector::IsLateRetry(Micros remaining, Micros latency_objective) {
  waits_[count_++ % waits_.size()] = remaining;
  std::array<Micros, kRequestHistorySize> sorted = waits_;
  const std::size_t sample_count = std::min(count_, waits_.size());
  const auto index = static_cast<std::ptrdiff_t>((sample_count - 1) * kMaxRetryPercent / 100);
  const auto first_attempt_wait = sorted.begin() + index;
  std::nth_element(sorted.begin(), first_attempt_wait,
                   sorted.begin() + static_cast<std::ptrdiff_t>(sample_count));
  return remaining + latency_objective / 2 < *first_attempt_wait;
}

}  // namespace tulipyoke::limits

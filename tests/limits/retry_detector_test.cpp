// Tests of the distinction between retries and first attempts.
#include "src/limits/retry_detector.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

// A retry is detected by its shorter remaining wait. If all clients have the same short wait, none is a late
// retry.
TEST(RetryDetector, RequestWithLessTimeLeftThanMostIsARetry) {
  RetryDetector mixed;
  for (int i = 0; i < 40; ++i) {
    const bool retry = i % 5 < 2;  // two in five
    const bool late = mixed.IsLateRetry(retry ? 500 * kMs : 820 * kMs, 400 * kMs);
    if (i >= 4) {
      EXPECT_EQ(late, retry) << i;
    }
  }
  RetryDetector impatient;
  for (int i = 0; i < 40; ++i) EXPECT_FALSE(impatient.IsLateRetry(400 * kMs, 400 * kMs));
}

}  // namespace
}  // namespace tulipyoke::limits

// Telling retries from first attempts.
#include "src/limits/retry_detector.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

// A client's retry is known by the shorter wait that it has left. Where all clients are impatient alike,
// none is late.
TEST(RetryDetector, AShorterWaitThanMostHaveTellsARetry) {
  RetryDetector seen;
  for (int i = 0; i < 40; ++i) {
    const bool retry = i % 5 < 2;  // two in five
    const bool late = seen.IsLateRetry(retry ? 500 * kMs : 820 * kMs, 400 * kMs);
    if (i >= 4) {
      EXPECT_EQ(late, retry) << i;
    }
  }
  RetryDetector impatient;
  for (int i = 0; i < 40; ++i) EXPECT_FALSE(impatient.IsLateRetry(400 * kMs, 400 * kMs));
}

}  // namespace
}  // namespace tulipyoke::limits

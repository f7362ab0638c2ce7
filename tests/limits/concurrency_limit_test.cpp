// Tests of the limit of attempts in flight at one server.
#include "src/limits/concurrency_limit.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

constexpr Micros kNow = 100 * kSecond;

TEST(ConcurrencyLimit, DecreasesOncePerIntervalAndIncreasesWithResponses) {
  ConcurrencyLimit limit;
  EXPECT_TRUE(limit.Admits(1'000'000));
  limit.Decrease(kNow, 9, 50 * kMs);  // the limit is now 8
  EXPECT_TRUE(limit.Admits(7));
  EXPECT_FALSE(limit.Admits(8));
  limit.Decrease(kNow + kMs, 0, 50 * kMs);
  EXPECT_TRUE(limit.Admits(7));
  for (int i = 0; i < 9; ++i) limit.Increase();
  EXPECT_TRUE(limit.Admits(8));
  EXPECT_FALSE(limit.Admits(10));
}

TEST(ConcurrencyLimit, AlwaysAdmitsOneAttemptAndIsRemovedByReset) {
  ConcurrencyLimit limit;
  for (int i = 0; i < 20; ++i) limit.Decrease(kNow + i * kSecond, 0, 50 * kMs);
  EXPECT_TRUE(limit.Admits(0));
  EXPECT_FALSE(limit.Admits(1));
  limit.Reset();
  EXPECT_TRUE(limit.Admits(1000));
}

}  // namespace
}  // namespace tulipyoke::limits

// Tests of the estimate of a primary's spare capacity.
#include "src/limits/primary_headroom.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

constexpr Micros kNow = 100 * kSecond;
constexpr Micros kDecayTime = 2 * kSecond;

TEST(PrimaryHeadroomShare, InitialShareIsDividedAmongRouters) {
  const PrimaryHeadroom headroom;
  EXPECT_NEAR(headroom.Share(kNow, kDecayTime, 1), 0.5, 1e-9);
  EXPECT_NEAR(headroom.Share(kNow, kDecayTime, 100), 0.005, 1e-9);
}

TEST(PrimaryHeadroomShare, GrowsWithFastResponsesAndIsHalvedByASlowOne) {
  PrimaryHeadroom headroom;
  headroom.Observe(kNow, kDecayTime, 1, {.fast = true, .slow = false});
  EXPECT_NEAR(headroom.Share(kNow, kDecayTime, 1), 0.6, 1e-9);
  headroom.Observe(kNow, kDecayTime, 1, {.fast = false, .slow = true});
  EXPECT_NEAR(headroom.Share(kNow, kDecayTime, 1), 0.3, 1e-9);
  headroom.Observe(kNow, kDecayTime, 1, {.fast = true, .slow = true});
  EXPECT_NEAR(headroom.Share(kNow, kDecayTime, 1), 0.2, 1e-9);
  headroom.Observe(kNow, kDecayTime, 1, {});
  EXPECT_NEAR(headroom.Share(kNow, kDecayTime, 1), 0.2, 1e-9);
}

}  // namespace
}  // namespace tulipyoke::limits

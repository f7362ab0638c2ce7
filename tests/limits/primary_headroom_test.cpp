// The spare capacity of a primary.
#include "src/limits/primary_headroom.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

constexpr Micros kNow = 100 * kSecond;
constexpr Micros kFadeSpan = 2 * kSecond;

TEST(PrimaryHeadroomShare, StartsAtThePartOfOneRouter) {
  const PrimaryHeadroom headroom;
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.5, 1e-9);
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 100), 0.005, 1e-9);
}

TEST(PrimaryHeadroomShare, GrowsWithQuickAnswersAndIsHalvedByASlowOne) {
  PrimaryHeadroom headroom;
  headroom.Observe(kNow, kFadeSpan, 1, {.quick = true, .slow = false});
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.6, 1e-9);
  headroom.Observe(kNow, kFadeSpan, 1, {.quick = false, .slow = true});
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.3, 1e-9);
  headroom.Observe(kNow, kFadeSpan, 1, {.quick = true, .slow = true});
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.2, 1e-9);
  headroom.Observe(kNow, kFadeSpan, 1, {});
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.2, 1e-9);
}

}  // namespace
}  // namespace tulipyoke::limits

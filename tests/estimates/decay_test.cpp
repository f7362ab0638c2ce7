// Tests of exponential decay.
#include "src/estimates/decay.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::estimates {
namespace {

TEST(Decay, FallsToOneOverEInEachTimeConstant) {
  EXPECT_DOUBLE_EQ(DecayFactor(0, kSecond), 1);
  EXPECT_NEAR(DecayFactor(kSecond, kSecond), 0.3679, 0.0001);
  EXPECT_DOUBLE_EQ(DecayFactor(kSecond, 0), 1);
  EXPECT_DOUBLE_EQ(RatioOrZero(3, 0), 0);
  EXPECT_DOUBLE_EQ(RatioOrZero(3, 2), 1.5);
}

}  // namespace
}  // namespace tulipyoke::estimates

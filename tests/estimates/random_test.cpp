// Tests of the pseudo-random number generator.
#include "src/estimates/random.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::estimates {
namespace {

TEST(Random, SameSeedGivesSameNumbers) {
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i) {
    const double draw = first.NextDouble();
    EXPECT_EQ(draw, second.NextDouble());
    EXPECT_GE(draw, 0);
    EXPECT_LT(draw, 1);
  }
  EXPECT_TRUE(first.OneIn(1));
  EXPECT_NE(first.Next(), second.Next());
}

}  // namespace
}  // namespace tulipyoke::estimates

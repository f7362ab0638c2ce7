#include "src/dispatch/position_scale.hpp"

#include <gtest/gtest.h>

namespace tulipyoke {
namespace {

TEST(PositionScale, RoundsReadsDownAndCommitsUp) {
  const PositionScale positions(1'000'500);  // half a millisecond after a whole one
  EXPECT_EQ(positions.RoundDown(1003), 2);
  EXPECT_EQ(positions.RoundUp(1003), 3);
  EXPECT_EQ(positions.ToUnixMsRoundedDown(2), 1002);
  EXPECT_EQ(positions.ToUnixMsRoundedUp(3), 1004);
  EXPECT_DOUBLE_EQ(positions.ToReportSeconds(1003.9), 0.0025);
}

TEST(PositionScale, HasNothingBeforeTheOrigin) {
  const PositionScale positions(1'000'500);
  EXPECT_FALSE(positions.IsAfterOrigin(1000));
  EXPECT_TRUE(positions.IsAfterOrigin(1001));
  EXPECT_EQ(positions.RoundDown(900), 0);
  EXPECT_EQ(positions.RoundUp(900), 0);
}

}  // namespace
}  // namespace tulipyoke

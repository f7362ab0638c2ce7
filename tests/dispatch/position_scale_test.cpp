#include "src/dispatch/position_scale.hpp"

#include <gtest/gtest.h>

namespace tulipyoke {
namespace {

TEST(PositionScale, RoundsReplicaPositionsDownAndCommitsUp) {
  const PositionScale position_scale(1'000'500);  // half a millisecond after a whole millisecond
  EXPECT_EQ(position_scale.FromUnixMsRoundedDown(1003), 2);
  EXPECT_EQ(position_scale.FromUnixMsRoundedUp(1003), 3);
  EXPECT_EQ(position_scale.ToUnixMsRoundedDown(2), 1002);
  EXPECT_EQ(position_scale.ToUnixMsRoundedUp(3), 1004);
  EXPECT_DOUBLE_EQ(position_scale.ToReportSeconds(1003.9), 0.0025);
}

TEST(PositionScale, TimesBeforeTheEpochMapToZero) {
  const PositionScale position_scale(1'000'500);
  EXPECT_FALSE(position_scale.IsAfterEpoch(1000));
  EXPECT_TRUE(position_scale.IsAfterEpoch(1001));
  EXPECT_EQ(position_scale.FromUnixMsRoundedDown(900), 0);
  EXPECT_EQ(position_scale.FromUnixMsRoundedUp(900), 0);
}

}  // namespace
}  // namespace tulipyoke

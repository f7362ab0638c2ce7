// Tests the counts that limit suppression.
#include "src/membership/group_counts.hpp"

#include <gtest/gtest.h>

#include <set>

namespace tulipyoke::membership {
namespace {

TEST(GroupCounts, SuppressionIsLimitedToHalfOfAGroup) {
  GroupCounts counts;
  EXPECT_FALSE(counts.MaySuppress(1)) << "an unknown group has no server to spare";
  counts.AddInService(1);
  counts.AddInService(1);
  EXPECT_TRUE(counts.MaySuppress(1));
  counts.RemoveInService(1);
  counts.AddSuppressed(1);
  EXPECT_FALSE(counts.MaySuppress(1));
  EXPECT_EQ(counts.InService(1), 1u);
  EXPECT_EQ(counts.OverSuppressedGroups(), std::set<int>{1});
}

TEST(GroupCounts, AnEmptyGroupIsErased) {
  GroupCounts counts;
  counts.AddInService(1);
  counts.AddSuppressed(2);
  counts.RemoveInService(1);
  counts.RemoveEmpty();
  EXPECT_EQ(counts.InService(1), 0u);
  EXPECT_EQ(counts.OverSuppressedGroups(), std::set<int>{2});
}

}  // namespace
}  // namespace tulipyoke::membership

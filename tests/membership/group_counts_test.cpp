// The counts on which suppression depends.
#include "src/membership/group_counts.hpp"

#include <gtest/gtest.h>

#include <set>

namespace tulipyoke::membership {
namespace {

TEST(GroupCounts, SuppressionIsLimitedToHalfOfAGroup) {
  GroupCounts groups;
  EXPECT_FALSE(groups.MaySuppress(1)) << "an unknown group has no server to spare";
  groups.AddInService(1);
  groups.AddInService(1);
  EXPECT_TRUE(groups.MaySuppress(1));
  groups.RemoveInService(1);
  groups.AddSuppressed(1);
  EXPECT_FALSE(groups.MaySuppress(1));
  EXPECT_EQ(groups.InService(1), 1u);
  EXPECT_EQ(groups.OverSuppressed(), std::set<int>{1});
}

TEST(GroupCounts, AnEmptyGroupIsForgotten) {
  GroupCounts groups;
  groups.AddInService(1);
  groups.AddSuppressed(2);
  groups.RemoveInService(1);
  groups.RemoveEmpty();
  EXPECT_EQ(groups.InService(1), 0u);
  EXPECT_EQ(groups.OverSuppressed(), std::set<int>{2});
}

}  // namespace
}  // namespace tulipyoke::membership

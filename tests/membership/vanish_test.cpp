// Tests how Membership drains, removes and erases servers that vanish.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, AVanishedServerDrainsImmediatelyAndIsRemovedAfterTheDelay) {
  ApplyCompleteListing(1, {MakeServer("a"), MakeServer("b")});
  ASSERT_TRUE(IsInService("a"));
  Withdraw(1, "a");
  EXPECT_TRUE(IsDraining("a"));
  Advance(9 * kSecond);
  EXPECT_TRUE(IsDraining("a")) << "its requests may still finish";
  Advance(2 * kSecond);
  EXPECT_FALSE(published_.contains("a"));
  EXPECT_TRUE(IsInService("b"));
  Advance(200 * kSecond);
  EXPECT_EQ(membership_.size(), 1u);
}

TEST_F(MembershipTest, RemovingASourceDrainsServersThatOnlyItAnnounced) {
  ApplyCompleteListing(0, {MakeServer("a", 1000)});
  ApplyCompleteListing(1, {MakeServer("a", 1000), MakeServer("b", 1000)});
  membership_.RemoveSource(now_, 1);
  TakeListings();
  EXPECT_TRUE(IsInService("a"));
  EXPECT_TRUE(IsDraining("b"));
}

}  // namespace
}  // namespace tulipyoke::membership

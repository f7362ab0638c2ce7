// How servers that vanish are drained, removed and forgotten.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, AVanishedServerDrainsAtOnceAndIsRemovedAfterTheDelay) {
  ApplyComplete(1, {ServerWith("a"), ServerWith("b")});
  ASSERT_TRUE(IsInService("a"));
  Withdraw(1, "a");
  EXPECT_TRUE(IsDraining("a"));
  Advance(9 * kSecond);
  EXPECT_TRUE(IsDraining("a")) << "its requests may still finish";
  Advance(2 * kSecond);
  EXPECT_FALSE(published_.contains("a"));
  EXPECT_TRUE(IsInService("b"));
  Advance(200 * kSecond);
  EXPECT_EQ(members_.size(), 1u);
}

TEST_F(MembershipTest, RemovingASourceDrainsServersThatOnlyItAnnounced) {
  ApplyComplete(0, {ServerWith("a", 1000)});
  ApplyComplete(1, {ServerWith("a", 1000), ServerWith("b", 1000)});
  members_.RemoveSource(now_, 1);
  Collect();
  EXPECT_TRUE(IsInService("a"));
  EXPECT_TRUE(IsDraining("b"));
}

}  // namespace
}  // namespace tulipyoke::membership

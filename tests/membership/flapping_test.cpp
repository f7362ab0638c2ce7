// Tests the suppression of flapping servers by Membership.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, AServerThatFlapsEverySecondIsSuppressedUntilItIsStable) {
  ApplyCompleteListing(1, {MakeServer("a", 1000), MakeServer("b", 1000), MakeServer("c", 1000)});
  int changes = 0;
  bool in_service = IsInService("a");
  for (int second = 0; second < 60; ++second) {
    if (second % 2 == 0)
      Withdraw(1, "a");
    else
      Announce(1, MakeServer("a", 1000));
    changes += in_service != IsInService("a") ? 1 : 0;
    in_service = IsInService("a");
    EXPECT_TRUE(IsInService("b"));
    EXPECT_EQ(membership_.size(), 3u);
    Advance(kSecond);
  }
  EXPECT_LE(changes, 12);
  EXPECT_EQ(membership_.counters().suppressed, 1u);
  EXPECT_FALSE(IsInService("a"));
  Advance(120 * kSecond);
  EXPECT_TRUE(IsInService("a")) << "the penalty has decayed";
}

// If most servers of a group flap, the cause is not the individual servers, and suppressing all of them
// would leave no server in service.
TEST_F(MembershipTest, SuppressionNeverEmptiesAGroup) {
  const std::vector<ListedServer> servers = {MakeServer("a", 1000), MakeServer("b", 1000),
                                             MakeServer("c", 1000), MakeServer("d", 1000)};
  ApplyCompleteListing(1, servers);
  for (int i = 0; i < 20; ++i) {
    ApplyCompleteListing(1, {});
    Advance(kSecond);
    ApplyCompleteListing(1, servers);
    Advance(kSecond);
    EXPECT_GE(InServiceCount(), 2u) << i;
  }
}

}  // namespace
}  // namespace tulipyoke::membership

// How flapping servers are suppressed.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, AServerThatFlapsEverySecondIsSuppressedUntilItIsSteady) {
  ApplyComplete(1, {ServerWith("a", 1000), ServerWith("b", 1000), ServerWith("c", 1000)});
  int changes = 0;
  bool served = IsInService("a");
  for (int second = 0; second < 60; ++second) {
    if (second % 2 == 0)
      Withdraw(1, "a");
    else
      Announce(1, ServerWith("a", 1000));
    changes += served != IsInService("a") ? 1 : 0;
    served = IsInService("a");
    EXPECT_TRUE(IsInService("b"));
    EXPECT_EQ(members_.size(), 3u);
    Advance(kSecond);
  }
  EXPECT_LE(changes, 12);
  EXPECT_EQ(members_.counters().suppressed, 1u);
  EXPECT_FALSE(IsInService("a"));
  Advance(120 * kSecond);
  EXPECT_TRUE(IsInService("a")) << "the penalty has decayed";
}

// Where most of a set flap_history, the flapping is not the servers': holding them all down would end the
// service.
TEST_F(MembershipTest, SuppressionNeverEmptiesAGroup) {
  const std::vector<ListedServer> all = {ServerWith("a", 1000), ServerWith("b", 1000), ServerWith("c", 1000),
                                         ServerWith("d", 1000)};
  ApplyComplete(1, all);
  for (int i = 0; i < 20; ++i) {
    ApplyComplete(1, {});
    Advance(kSecond);
    ApplyComplete(1, all);
    Advance(kSecond);
    EXPECT_GE(InService(), 2u) << i;
  }
}

}  // namespace
}  // namespace tulipyoke::membership

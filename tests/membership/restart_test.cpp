// Tests when Membership treats a server that returns or changes its address as a new process.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, AnEarlyReturnIsTheSameProcessAndNeedsNoAdmission) {
  ApplyCompleteListing(1, {MakeServer("a", 1000), MakeServer("b", 1000)});
  for (const Micros absence : {kSecond / 2, 3 * kSecond}) {
    Withdraw(1, "a");
    Advance(absence);
    Announce(1, MakeServer("a", 1000));
    ASSERT_TRUE(IsInService("a"));
    EXPECT_EQ(published_.at("a").started_unix_ms, 1000);  // still the warm process
    Advance(60 * kSecond);
  }
  EXPECT_EQ(membership_.counters().restarts, 0u);
  EXPECT_EQ(removals_, 0);
}

TEST_F(MembershipTest, AReturnWithANewerStartTimeIsARestart) {
  ApplyCompleteListing(1, {MakeServer("a", 1000), MakeServer("b", 1000)});
  Withdraw(1, "a");
  Advance(kSecond);
  const std::int64_t newer_start_ms = now_ / 1000 - 100;
  Announce(1, MakeServer("a", newer_start_ms));
  ASSERT_TRUE(IsInService("a"));
  EXPECT_EQ(published_.at("a").started_unix_ms, newer_start_ms);
  EXPECT_EQ(membership_.counters().restarts, 1u);
  // A later announcement with an older start time does not replace the newer one.
  Announce(2, MakeServer("a", 500));
  EXPECT_EQ(published_.at("a").started_unix_ms, newer_start_ms);
}

// Without a start time, there is no proof that it is the same process.
TEST_F(MembershipTest, AReturnWithoutAStartTimeIsARestart) {
  ApplyCompleteListing(1, {MakeServer("a"), MakeServer("b")});
  Withdraw(1, "a");
  Advance(kSecond);
  Announce(1, MakeServer("a"));
  ASSERT_TRUE(IsInService("a"));
  EXPECT_EQ(published_.at("a").started_unix_ms, now_ / 1000);
}

// State kept for the server at the old address does not apply to the new one.
TEST_F(MembershipTest, AChangedAddressMeansANewProcess) {
  ApplyCompleteListing(1, {MakeServer("a", 1000, "10.0.0.1:1"), MakeServer("b", 1000)});
  Announce(1, MakeServer("a", 1000, "10.0.0.2:1"));
  EXPECT_EQ(removals_, 1);  // so that the consumer discards the previous process
  ASSERT_TRUE(IsInService("a"));
  EXPECT_EQ(published_.at("a").address, "10.0.0.2:1");
  EXPECT_EQ(published_.at("a").started_unix_ms, now_ / 1000);
  EXPECT_EQ(membership_.counters().moved, 1u);
}

TEST_F(MembershipTest, ANewerStartTimeOverridesAnotherSourcesVanishedRecord) {
  ApplyCompleteListing(0, {MakeServer("a", 1000), MakeServer("b", 1000)});
  ApplyCompleteListing(1, {MakeServer("a", 1000), MakeServer("b", 1000)});
  Withdraw(1, "a");
  Advance(kSecond);
  EXPECT_TRUE(IsDraining("a"));
  Announce(0, MakeServer("a", now_ / 1000));
  EXPECT_TRUE(IsInService("a"));
}

}  // namespace
}  // namespace tulipyoke::membership

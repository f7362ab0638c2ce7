// When a server that returns or moves counts as a new process.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, AnEarlyReturnIsTheSameProcessAndNeedsNoAdmission) {
  ApplyComplete(1, {ServerWith("a", 1000), ServerWith("b", 1000)});
  for (const Micros away : {kSecond / 2, 3 * kSecond}) {
    Withdraw(1, "a");
    Advance(away);
    Announce(1, ServerWith("a", 1000));
    ASSERT_TRUE(IsInService("a"));
    EXPECT_EQ(published_.at("a").started_unix_ms, 1000);  // still warm
    Advance(60 * kSecond);
  }
  EXPECT_EQ(members_.counters().restarts, 0u);
  EXPECT_EQ(removals_, 0);
}

TEST_F(MembershipTest, AReturnWithANewerStartTimeIsARestart) {
  ApplyComplete(1, {ServerWith("a", 1000), ServerWith("b", 1000)});
  Withdraw(1, "a");
  Advance(kSecond);
  const std::int64_t newer = now_ / 1000 - 100;
  Announce(1, ServerWith("a", newer));
  ASSERT_TRUE(IsInService("a"));
  EXPECT_EQ(published_.at("a").started_unix_ms, newer);
  EXPECT_EQ(members_.counters().restarts, 1u);
  // A late announcement of an older start time does not replace the newer one.
  Announce(2, ServerWith("a", 500));
  EXPECT_EQ(published_.at("a").started_unix_ms, newer);
}

// Without a start time nothing shows that it is the same process.
TEST_F(MembershipTest, AReturnWithoutAStartTimeIsARestart) {
  ApplyComplete(1, {ServerWith("a"), ServerWith("b")});
  Withdraw(1, "a");
  Advance(kSecond);
  Announce(1, ServerWith("a"));
  ASSERT_TRUE(IsInService("a"));
  EXPECT_EQ(published_.at("a").started_unix_ms, now_ / 1000);
}

// What is known of the server at the old address does not hold for the new one.
TEST_F(MembershipTest, AnotherAddressIsANewProcess) {
  ApplyComplete(1, {ServerWith("a", 1000, "10.0.0.1:1"), ServerWith("b", 1000)});
  Announce(1, ServerWith("a", 1000, "10.0.0.2:1"));
  EXPECT_EQ(removals_, 1);  // so that the consumer forgets the former one
  ASSERT_TRUE(IsInService("a"));
  EXPECT_EQ(published_.at("a").address, "10.0.0.2:1");
  EXPECT_EQ(published_.at("a").started_unix_ms, now_ / 1000);
  EXPECT_EQ(members_.counters().moved, 1u);
}

TEST_F(MembershipTest, ANewerStartTimeOverridesAnotherSourcesVanishedRecord) {
  ApplyComplete(0, {ServerWith("a", 1000), ServerWith("b", 1000)});
  ApplyComplete(1, {ServerWith("a", 1000), ServerWith("b", 1000)});
  Withdraw(1, "a");
  Advance(kSecond);
  EXPECT_TRUE(IsDraining("a"));
  Announce(0, ServerWith("a", now_ / 1000));
  EXPECT_TRUE(IsInService("a"));
}

}  // namespace
}  // namespace tulipyoke::membership

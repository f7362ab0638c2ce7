// Which source prevails where they disagree.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, AnySourceMayDrainAServer) {
  const ListedServer draining = ServerWith("a", 1000, "10.0.0.1:1", ServerState::kDraining);
  for (const std::size_t drains : {std::size_t{0}, std::size_t{1}}) {
    const std::size_t other = 1 - drains;
    ApplyComplete(drains, {ServerWith("a", 1000), ServerWith("b", 1000)});
    ApplyComplete(other, {ServerWith("a", 1000), ServerWith("b", 1000)});
    ASSERT_TRUE(IsInService("a"));
    Announce(drains, draining);
    EXPECT_TRUE(IsDraining("a"));
    Announce(other, ServerWith("a", 1000));
    EXPECT_TRUE(IsDraining("a"));
    Announce(drains, ServerWith("a", 1000));
    EXPECT_TRUE(IsInService("a"));
    Withdraw(drains, "a");
    Announce(other, ServerWith("a", 1000));
    EXPECT_TRUE(IsDraining("a"));
    Advance(300 * kSecond);
    EXPECT_FALSE(published_.contains("a")) << "it stays withdrawn by one source while the other announces it";
    Announce(drains, ServerWith("a", 1000));
    Advance(5 * kSecond);
    EXPECT_TRUE(IsInService("a"));
  }
  EXPECT_GE(members_.counters().conflicts, 4u);
}

TEST_F(MembershipTest, TheFirstSourceSaysWhereAServerIs) {
  ApplyComplete(1, {ServerWith("a", 1000, "10.0.0.2:1")});
  EXPECT_EQ(published_.at("a").address, "10.0.0.2:1");
  ApplyComplete(0, {ServerWith("a", 1000, "10.0.0.1:1")});
  EXPECT_EQ(published_.at("a").address, "10.0.0.1:1");
  Announce(1, ServerWith("a", 1000, "10.0.0.3:1"));
  EXPECT_EQ(published_.at("a").address, "10.0.0.1:1");
}

}  // namespace
}  // namespace tulipyoke::membership

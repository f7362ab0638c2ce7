// Tests the precedence of sources that conflict.
#include "tests/membership/membership_fixture.hpp"

namespace tulipyoke::membership {
namespace {

TEST_F(MembershipTest, AnySourceCanDrainAServer) {
  const ListedServer draining = MakeServer("a", 1000, "10.0.0.1:1", ServerState::kDraining);
  for (const std::size_t draining_source : {std::size_t{0}, std::size_t{1}}) {
    const std::size_t other_source = 1 - draining_source;
    ApplyCompleteListing(draining_source, {MakeServer("a", 1000), MakeServer("b", 1000)});
    ApplyCompleteListing(other_source, {MakeServer("a", 1000), MakeServer("b", 1000)});
    ASSERT_TRUE(IsInService("a"));
    Announce(draining_source, draining);
    EXPECT_TRUE(IsDraining("a"));
    Announce(other_source, MakeServer("a", 1000));
    EXPECT_TRUE(IsDraining("a"));
    Announce(draining_source, MakeServer("a", 1000));
    EXPECT_TRUE(IsInService("a"));
    Withdraw(draining_source, "a");
    Announce(other_source, MakeServer("a", 1000));
    EXPECT_TRUE(IsDraining("a"));
    Advance(300 * kSecond);
    EXPECT_FALSE(published_.contains("a")) << "it stays withdrawn by one source while the other announces it";
    Announce(draining_source, MakeServer("a", 1000));
    Advance(5 * kSecond);
    EXPECT_TRUE(IsInService("a"));
  }
  EXPECT_GE(membership_.counters().conflicts, 4u);
}

TEST_F(MembershipTest, TheFirstSourceDeterminesTheAddressOfAServer) {
  ApplyCompleteListing(1, {MakeServer("a", 1000, "10.0.0.2:1")});
  EXPECT_EQ(published_.at("a").address, "10.0.0.2:1");
  ApplyCompleteListing(0, {MakeServer("a", 1000, "10.0.0.1:1")});
  EXPECT_EQ(published_.at("a").address, "10.0.0.1:1");
  Announce(1, MakeServer("a", 1000, "10.0.0.3:1"));
  EXPECT_EQ(published_.at("a").address, "10.0.0.1:1");
}

}  // namespace
}  // namespace tulipyoke::membership

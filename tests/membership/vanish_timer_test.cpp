// Tests when a vanished server is removed from the list and when it expires.
#include "src/membership/vanish_timer.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace tulipyoke::membership {
namespace {

constexpr VanishOptions kOptions{.removal_delay = 10, .retention = 20};

TEST(VanishTimer, RunsFromTheFirstUpdateThatReportsTheServerVanished) {
  VanishTimer timer;
  timer.Update(true, 100);
  timer.Update(true, 105);
  EXPECT_TRUE(timer.IsListed(kOptions, 109));
  EXPECT_EQ(timer.NextChange(kOptions, 109), 110);
  EXPECT_FALSE(timer.IsListed(kOptions, 110));
  EXPECT_EQ(timer.NextChange(kOptions, 110), 130);
  EXPECT_FALSE(timer.IsExpired(kOptions, 129));
  EXPECT_TRUE(timer.IsExpired(kOptions, 130));
}

TEST(VanishTimer, StopsWhenTheServerReturns) {
  VanishTimer timer;
  timer.Update(true, 100);
  timer.Update(false, 105);
  EXPECT_TRUE(timer.IsListed(kOptions, 1000));
  EXPECT_FALSE(timer.IsExpired(kOptions, 1000));
  EXPECT_EQ(timer.NextChange(kOptions, 1000), std::nullopt);
}

}  // namespace
}  // namespace tulipyoke::membership

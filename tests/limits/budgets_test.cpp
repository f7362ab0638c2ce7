// Budgets, concurrency limits, primary headroom and slow start, each by itself.
#include <gtest/gtest.h>

#include "src/limits/concurrency_limit.hpp"
#include "src/limits/primary_headroom.hpp"
#include "src/limits/slow_start_budget.hpp"
#include "src/limits/token_budget.hpp"
#include "tests/scene.hpp"

namespace tulipyoke::limits {
namespace {

constexpr Micros kNow = 100 * kSecond;
constexpr Micros kFadeSpan = 2 * kSecond;

TEST(TokenBudget, SpendsNoMoreThanItHas) {
  TokenBudget budget(1, 2);
  EXPECT_TRUE(budget.TryTake(1));
  EXPECT_FALSE(budget.TryTake(0.5));
  budget.Refill(0.5);
  EXPECT_TRUE(budget.TryTake(0.5));
  budget.Refill(100);
  EXPECT_TRUE(budget.TryTake(2));
  EXPECT_FALSE(budget.TryTake(0.1));
}

TEST(ConcurrencyLimit, IsCutOncePerIntervalAndRaisedByAnswers) {
  ConcurrencyLimit limit;
  EXPECT_TRUE(limit.Admits(1'000'000));
  limit.Cut(kNow, 9, 50 * kMs);  // to 8
  EXPECT_TRUE(limit.Admits(7));
  EXPECT_FALSE(limit.Admits(8));
  limit.Cut(kNow + kMs, 0, 50 * kMs);
  EXPECT_TRUE(limit.Admits(7));
  for (int i = 0; i < 9; ++i) limit.Raise();
  EXPECT_TRUE(limit.Admits(8));
  EXPECT_FALSE(limit.Admits(10));
}

TEST(ConcurrencyLimit, AlwaysAdmitsOneAndIsResetByARestart) {
  ConcurrencyLimit limit;
  for (int i = 0; i < 20; ++i) limit.Cut(kNow + i * kSecond, 0, 50 * kMs);
  EXPECT_TRUE(limit.Admits(0));
  EXPECT_FALSE(limit.Admits(1));
  limit.Reset();
  EXPECT_TRUE(limit.Admits(1000));
}

TEST(PrimaryHeadroom, StartsAtThePartOfOneRouter) {
  const PrimaryHeadroom headroom;
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.5, 1e-9);
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 100), 0.005, 1e-9);
}

TEST(PrimaryHeadroom, GrowsWithQuickAnswersAndIsHalvedByASlowOne) {
  PrimaryHeadroom headroom;
  headroom.Observe(kNow, kFadeSpan, 1, {.quick = true, .slow = false});
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.6, 1e-9);
  headroom.Observe(kNow, kFadeSpan, 1, {.quick = false, .slow = true});
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.3, 1e-9);
  headroom.Observe(kNow, kFadeSpan, 1, {.quick = true, .slow = true});
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.2, 1e-9);
  headroom.Observe(kNow, kFadeSpan, 1, {});
  EXPECT_NEAR(headroom.Share(kNow, kFadeSpan, 1), 0.2, 1e-9);
}

TEST(SlowStart, CapacityGrowsOverTheWindow) {
  const Settings settings = TestSettings();  // a fifth at first, all after 10 s
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow), 0.2);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow + 5 * kSecond), 0.6);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow + 50 * kSecond), 1);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, -1, kNow), 1);
}

TEST(SlowStart, TheQuotasAreSharedEvenlyByTheServers) {
  Settings settings = TestSettings();
  EXPECT_DOUBLE_EQ(EvenRate(settings, 4), 0);
  settings.tenants = {{"first", 300, 0.5}, {"second", 100, 0.5}};
  EXPECT_DOUBLE_EQ(EvenRate(settings, 4), 100e-6);
  EXPECT_DOUBLE_EQ(EvenRate(settings, 0), 400e-6);
}

TEST(SlowStart, TheBudgetIsThatOfOneWindow) {
  Settings settings = TestSettings();  // overloaded by twice its share within a second
  settings.router_count = 1;
  SlowStartBudget budget;
  // A warm server finishes half of the time's work for this router; a fifth of that, times 4/3, is 133 ms.
  const SlowStartBudget::Server server{.capacity_share = 0.2, .warm_rate = 0.5, .even_rate = 0};
  const auto none = [] { return 0.0; };
  int sent = 0;
  while (sent < 100 && budget.Admits(settings, kNow, 20 * kMs, server, none)) {
    budget.Spend(kNow, 20 * kMs);
    ++sent;
  }
  EXPECT_EQ(sent, 7);
  EXPECT_FALSE(budget.Admits(settings, kNow + kSecond, 20 * kMs, server, none));
  EXPECT_TRUE(budget.Admits(settings, kNow + kSecond + 1, 20 * kMs, server, none));
}

// Of many routers that know nothing, as many as the even part says may send one.
TEST(SlowStart, APartOfOneRequestIsDrawn) {
  Settings settings = TestSettings();
  settings.router_count = 200;
  const SlowStartBudget::Server server{.capacity_share = 0.2, .warm_rate = 0, .even_rate = 0};
  int admitted = 0;
  for (int i = 0; i < 200; ++i) {
    SlowStartBudget budget;
    admitted += budget.Admits(settings, kNow, 20 * kMs, server, [&] { return (i + 0.5) / 200; });
  }
  EXPECT_EQ(admitted, 1);
}

}  // namespace
}  // namespace tulipyoke::limits

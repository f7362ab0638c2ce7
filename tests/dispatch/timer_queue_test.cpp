#include "src/dispatch/timer_queue.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace tulipyoke {
namespace {

using Kind = TimerQueue::Kind;

TEST(TimerQueue, OrdersTimersByTimeThenKindThenScheduling) {
  TimerQueue timers;
  timers.Schedule(20, Kind::kRequestOverdue, 1);
  timers.Schedule(20, Kind::kPolicyTimer, 2);
  timers.Schedule(20, Kind::kOperationTimeout, 3);
  timers.Schedule(20, Kind::kPolicyTimer, 1);
  timers.Schedule(10, Kind::kRequestOverdue, 4);
  std::vector<std::uint64_t> ids;
  while (const auto timer = timers.PopExpired(20)) ids.push_back(timer->id);
  EXPECT_EQ(ids, (std::vector<std::uint64_t>{4, 3, 2, 1, 1}));
}

TEST(TimerQueue, KeepsTimersThatHaveNotExpired) {
  TimerQueue timers;
  EXPECT_FALSE(timers.NextExpiry());
  timers.Schedule(20, Kind::kPolicyTimer, 1);
  EXPECT_FALSE(timers.PopExpired(19));
  EXPECT_EQ(timers.NextExpiry(), 20);
  EXPECT_TRUE(timers.PopExpired(20));
  EXPECT_FALSE(timers.PopExpired(20));
}

}  // namespace
}  // namespace tulipyoke

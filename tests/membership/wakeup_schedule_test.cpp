// Tests the order in which servers become due.
#include "src/membership/wakeup_schedule.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace tulipyoke::membership {
namespace {

TEST(WakeupSchedule, ServersAreDueByTimeAndThenById) {
  WakeupSchedule schedule;
  schedule.Set("b", 10);
  schedule.Set("a", 10);
  schedule.Set("c", 5);
  EXPECT_EQ(schedule.NextDue(), 5);
  EXPECT_EQ(schedule.PopDue(4), std::nullopt);
  EXPECT_EQ(schedule.PopDue(10), "c");
  EXPECT_EQ(schedule.PopDue(10), "a");
  EXPECT_EQ(schedule.PopDue(10), "b");
  EXPECT_EQ(schedule.PopDue(10), std::nullopt);
  EXPECT_EQ(schedule.NextDue(), std::nullopt);
}

TEST(WakeupSchedule, SetReplacesOrCancelsATime) {
  WakeupSchedule schedule;
  schedule.Set("a", 10);
  schedule.Set("a", 20);
  EXPECT_EQ(schedule.TimeOf("a"), 20);
  EXPECT_EQ(schedule.PopDue(10), std::nullopt);
  schedule.Set("a", std::nullopt);
  EXPECT_EQ(schedule.TimeOf("a"), std::nullopt);
  EXPECT_EQ(schedule.NextDue(), std::nullopt);
}

}  // namespace
}  // namespace tulipyoke::membership

// Tests of the time intervals derived from the settings.
#include "src/estimates/time_scales.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::estimates {
namespace {

TEST(TimeScales, AreDerivedFromTheClasses) {
  const TimeScales scales(Normalized(TestSettings()));
  EXPECT_EQ(scales.housekeeping_interval, 50 * kMs);
  EXPECT_EQ(scales.longest_objective, 400 * kMs);
  EXPECT_EQ(scales.longest_deadline, kSecond);
  EXPECT_EQ(scales.tightest_staleness_bound, 500 * kMs);
  EXPECT_EQ(scales.decay_time, 2 * kSecond);
  EXPECT_EQ(scales.unlisted_retention, 2 * kSecond);
  EXPECT_EQ(scales.throughput_window, 10 * kSecond);
}

// Guards against a division by zero or a timer without a delay when the settings are empty.
TEST(TimeScales, ArePositiveWithoutSettings) {
  const TimeScales scales(Normalized(Settings{}));
  EXPECT_EQ(scales.housekeeping_interval, 1);
  EXPECT_EQ(scales.decay_time, 2);
  EXPECT_EQ(scales.throughput_window, 1);
  EXPECT_EQ(scales.tightest_staleness_bound, kForever);
}

TEST(TimeScales, MissingObjectiveOrDeadlineDefaultsToTheOther) {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].latency_objective = 5;
  settings.classes[1].deadline = 7;
  settings.router_count = 0;
  const Settings normalized = Normalized(settings);
  EXPECT_EQ(normalized.classes[0].deadline, 5);
  EXPECT_EQ(normalized.classes[1].latency_objective, 7);
  EXPECT_EQ(normalized.router_count, 1);
}

}  // namespace
}  // namespace tulipyoke::estimates

// Tests the flap penalty of one server.
#include "src/membership/flap_damping.hpp"

#include <gtest/gtest.h>

namespace tulipyoke::membership {
namespace {

constexpr Micros kSecond = 1'000'000;

FlapDampingOptions MakeOptions() {
  FlapDampingOptions options;
  options.suppress_threshold = 1.5;
  options.reuse_threshold = 1;
  options.max_penalty = 4;
  options.half_life = 10 * kSecond;
  return options;
}

TEST(FlapHistory, IsSuppressedAboveTheThresholdAndReportsItOnce) {
  const FlapDampingOptions options = MakeOptions();
  FlapHistory history;
  EXPECT_FALSE(history.RecordWithdrawal(options, kSecond));
  EXPECT_FALSE(history.suppressed());
  EXPECT_TRUE(history.RecordWithdrawal(options, kSecond));
  EXPECT_FALSE(history.RecordWithdrawal(options, kSecond));
  EXPECT_TRUE(history.suppressed());
}

TEST(FlapHistory, SuppressionEndsWhenThePenaltyHasDecayed) {
  const FlapDampingOptions options = MakeOptions();
  FlapHistory history;
  history.RecordWithdrawal(options, kSecond);
  history.RecordWithdrawal(options, kSecond);
  const Micros reuse_time = kSecond + options.half_life;  // the penalty decays from 2 to 1
  EXPECT_EQ(history.ReuseTime(options), reuse_time);
  history.Update(options, reuse_time - 1);
  EXPECT_TRUE(history.suppressed());
  history.Update(options, reuse_time);
  EXPECT_FALSE(history.suppressed());
}

TEST(FlapHistory, ThePenaltyIsBounded) {
  const FlapDampingOptions options = MakeOptions();
  FlapHistory history;
  for (int i = 0; i < 100; ++i) history.RecordWithdrawal(options, kSecond);
  EXPECT_EQ(history.ReuseTime(options), kSecond + 2 * options.half_life);  // the penalty decays from 4 to 1
}

}  // namespace
}  // namespace tulipyoke::membership

// Finished work, failures, queues and concurrency of servers.
#include "src/estimates/throughput.hpp"

#include <gtest/gtest.h>

#include "src/estimates/decay.hpp"
#include "src/estimates/in_flight.hpp"
#include "src/estimates/random.hpp"
#include "tests/scene.hpp"

namespace tulipyoke::estimates {
namespace {

TEST(Decay, FallsToAnEthInEachSpan) {
  EXPECT_DOUBLE_EQ(Decay(0, kSecond), 1);
  EXPECT_NEAR(Decay(kSecond, kSecond), 0.3679, 0.0001);
  EXPECT_DOUBLE_EQ(Decay(kSecond, 0), 1);
  EXPECT_DOUBLE_EQ(RatioOrZero(3, 0), 0);
  EXPECT_DOUBLE_EQ(RatioOrZero(3, 2), 1.5);
}

// A steady load is measured rightly before a whole span has passed.
TEST(Throughput, MeasuresASteadyLoadFromTheStart) {
  Throughput throughput;
  const Micros start = 100 * kSecond;
  EXPECT_DOUBLE_EQ(throughput.Rate(start, kSecond, 10 * kSecond), 0);
  Micros now = start;
  for (; now < start + 3 * kSecond; now += 10 * kMs) throughput.Add(now, 5 * kMs, 10 * kSecond);
  EXPECT_NEAR(throughput.Rate(now, now - start, 10 * kSecond), 0.5, 0.01);
}

TEST(FailureShare, GrowsWithFailuresAndFades) {
  FailureShare share;
  const Micros now = 100 * kSecond;
  share.Observe(now, true, kSecond);
  EXPECT_DOUBLE_EQ(share.At(now, kSecond), 0.2);
  share.Observe(now, true, kSecond);
  EXPECT_DOUBLE_EQ(share.At(now, kSecond), 0.36);
  share.Observe(now, false, kSecond);
  EXPECT_DOUBLE_EQ(share.At(now, kSecond), 0.288);
  EXPECT_LT(share.At(now + 10 * kSecond, kSecond), 0.001);
  share.Reset();
  EXPECT_DOUBLE_EQ(share.At(now, kSecond), 0);
}

TEST(ReportedQueue, IsWorkedOffFromTheReportOn) {
  ReportedQueue queue;
  const Micros now = 100 * kSecond;
  queue.Observe(now, 8);
  EXPECT_DOUBLE_EQ(queue.RemainingWork(now, 2, 10 * kMs), 40 * kMs);
  EXPECT_DOUBLE_EQ(queue.RemainingWork(now + 30 * kMs, 2, 10 * kMs), 10 * kMs);
  EXPECT_DOUBLE_EQ(queue.RemainingWork(now + kSecond, 2, 10 * kMs), 0);
  EXPECT_EQ(queue.Age(now + kSecond), kSecond);
  queue.Reset();
  EXPECT_DOUBLE_EQ(queue.length(), 0);
  EXPECT_EQ(queue.Age(now + kSecond), kSecond);
}

TEST(ServiceConcurrency, IsSmoothedAndAtLeastOne) {
  ServiceConcurrency concurrency;
  concurrency.Observe(-4);
  EXPECT_DOUBLE_EQ(concurrency.value(), 1);
  concurrency.Observe(11);
  EXPECT_DOUBLE_EQ(concurrency.value(), 2);
}

TEST(InFlightAttempts, AnAttemptIsTakenOnce) {
  InFlightAttempts attempts;
  attempts.Add({.id = 1, .attempt = 0, .sent = 5});
  attempts.Add({.id = 1, .attempt = 1, .sent = 9, .freshness_check = true});
  EXPECT_TRUE(attempts.HasFreshnessCheck());
  EXPECT_TRUE(attempts.HasSentSince(9));
  EXPECT_FALSE(attempts.HasSentSince(10));
  const auto taken = attempts.Take(1, 1);
  ASSERT_TRUE(taken);
  EXPECT_EQ(taken->sent, 9);
  EXPECT_FALSE(attempts.Take(1, 1));
  EXPECT_FALSE(attempts.HasFreshnessCheck());
  EXPECT_EQ(attempts.size(), 1u);
}

TEST(InFlightAttempts, ACancelledOneIsNoTrial) {
  InFlightAttempts attempts;
  attempts.Add({.id = 1, .sent = 5, .cancelled = true});
  EXPECT_FALSE(attempts.HasSentSince(5));
}

TEST(Random, TheSameSeedGivesTheSameNumbers) {
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i) {
    const double draw = first.Fraction();
    EXPECT_EQ(draw, second.Fraction());
    EXPECT_GE(draw, 0);
    EXPECT_LT(draw, 1);
  }
  EXPECT_TRUE(first.OneIn(1));
  EXPECT_NE(first.Next(), second.Next());
}

}  // namespace
}  // namespace tulipyoke::estimates

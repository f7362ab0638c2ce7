// Tests of the throughput, failure rate, reported queue and concurrency of servers.
#include "src/estimates/throughput.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::estimates {
namespace {

// A steady load is measured correctly before a whole time constant has passed.
TEST(Throughput, MeasuresASteadyLoadFromTheStart) {
  Throughput throughput;
  const Micros start = 100 * kSecond;
  EXPECT_DOUBLE_EQ(throughput.Rate(start, kSecond, 10 * kSecond), 0);
  Micros now = start;
  for (; now < start + 3 * kSecond; now += 10 * kMs) throughput.Add(now, 5 * kMs, 10 * kSecond);
  EXPECT_NEAR(throughput.Rate(now, now - start, 10 * kSecond), 0.5, 0.01);
}

TEST(FailureRate, GrowsWithFailuresAndDecays) {
  FailureRate rate;
  const Micros now = 100 * kSecond;
  rate.Observe(now, true, kSecond);
  EXPECT_DOUBLE_EQ(rate.At(now, kSecond), 0.2);
  rate.Observe(now, true, kSecond);
  EXPECT_DOUBLE_EQ(rate.At(now, kSecond), 0.36);
  rate.Observe(now, false, kSecond);
  EXPECT_DOUBLE_EQ(rate.At(now, kSecond), 0.288);
  EXPECT_LT(rate.At(now + 10 * kSecond, kSecond), 0.001);
  rate.Reset();
  EXPECT_DOUBLE_EQ(rate.At(now, kSecond), 0);
}

TEST(ReportedQueue, RemainingWorkDecreasesAfterTheReport) {
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

}  // namespace
}  // namespace tulipyoke::estimates

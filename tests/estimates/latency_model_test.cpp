// Tests of the expected response times of classes and servers.
#include "src/estimates/latency_model.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::estimates {
namespace {

class LatencyModelTest : public testing::Test {
 protected:
  const Settings settings_ = Normalized(TestSettings());
  const TimeScales scales_{settings_};
  LatencyModel model_{settings_, scales_};
};

TEST_F(LatencyModelTest, ClassStartsAtAQuarterOfItsObjective) {
  EXPECT_DOUBLE_EQ(model_.TypicalLatency(kAnyRead), 100 * kMs);
  EXPECT_DOUBLE_EQ(model_.ExpectedLatency(LatencyRatio(), kAnyRead, kSecond), 100 * kMs);
}

// Guards against a slow server that makes its class appear slow: most of the difference is attributed to the
// server.
TEST_F(LatencyModelTest, SlowResponseIsAttributedToServerMoreThanToClass) {
  LatencyRatio server;
  Micros now = 100 * kSecond;
  for (int i = 0; i < 20; ++i) model_.AddSample(server, kAnyRead, 300 * kMs, now += 10 * kMs);
  EXPECT_GT(server.At(now, scales_.decay_time), 2);
  EXPECT_LT(model_.TypicalLatency(kAnyRead), 130 * kMs);
}

TEST_F(LatencyModelTest, LatencyRatioDecaysToOne) {
  LatencyRatio server;
  const Micros now = 100 * kSecond;
  model_.AddSample(server, kAnyRead, 300 * kMs, now);
  EXPECT_GT(server.At(now, scales_.decay_time), 1.5);
  EXPECT_NEAR(server.At(now + 20 * kSecond, scales_.decay_time), 1, 0.001);
}

// A response after a gap has a weight of one half, a response among many a weight of one tenth.
TEST_F(LatencyModelTest, ResponseAfterAGapHasMoreWeight) {
  LatencyRatio ratio;
  ratio.Observe(100 * kSecond, scales_, 3);
  EXPECT_NEAR(ratio.At(100 * kSecond, scales_.decay_time), 2, 0.001);
  ratio.Observe(100 * kSecond, scales_, 3);
  EXPECT_NEAR(ratio.At(100 * kSecond, scales_.decay_time), 2.1, 0.001);
  ratio.Reset();
  EXPECT_DOUBLE_EQ(ratio.At(100 * kSecond, scales_.decay_time), 1);
}

TEST_F(LatencyModelTest, RemainingWorkDecreasesWithTimeInFlight) {
  InFlightAttempts attempts;
  const Micros now = 100 * kSecond;
  EXPECT_DOUBLE_EQ(model_.RemainingWork(attempts, LatencyRatio(), now), 0);
  attempts.Add({.id = 1, .class_index = kAnyRead, .sent = now - 40 * kMs});
  attempts.Add({.id = 2, .class_index = kAnyRead, .sent = now - 500 * kMs});
  EXPECT_DOUBLE_EQ(model_.RemainingWork(attempts, LatencyRatio(), now), 60 * kMs);
}

}  // namespace
}  // namespace tulipyoke::estimates

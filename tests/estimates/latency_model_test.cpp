// Expected response times of classes and servers.
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

TEST_F(LatencyModelTest, AClassStartsAtAQuarterOfItsObjective) {
  EXPECT_DOUBLE_EQ(model_.Usual(kAnyRead), 100 * kMs);
  EXPECT_DOUBLE_EQ(model_.Expected(Slowness(), kAnyRead, kSecond), 100 * kMs);
}

// Guards against a slow server that makes its class look slow: most of the difference is the server's.
TEST_F(LatencyModelTest, ASlowAnswerIsTheServersMoreThanTheClasses) {
  Slowness server;
  Micros now = 100 * kSecond;
  for (int i = 0; i < 20; ++i) model_.Learn(server, kAnyRead, 300 * kMs, now += 10 * kMs);
  EXPECT_GT(server.At(now, scales_.fade_span), 2);
  EXPECT_LT(model_.Usual(kAnyRead), 130 * kMs);
}

TEST_F(LatencyModelTest, SlownessFadesToTheUsual) {
  Slowness server;
  const Micros now = 100 * kSecond;
  model_.Learn(server, kAnyRead, 300 * kMs, now);
  EXPECT_GT(server.At(now, scales_.fade_span), 1.5);
  EXPECT_NEAR(server.At(now + 20 * kSecond, scales_.fade_span), 1, 0.001);
}

// One answer after a silence counts for half, one of many for a tenth.
TEST_F(LatencyModelTest, AnAnswerAfterASilenceCountsForMore) {
  Slowness silent;
  silent.Observe(100 * kSecond, scales_, 3);
  EXPECT_NEAR(silent.At(100 * kSecond, scales_.fade_span), 2, 0.001);
  silent.Observe(100 * kSecond, scales_, 3);
  EXPECT_NEAR(silent.At(100 * kSecond, scales_.fade_span), 2.1, 0.001);
  silent.Reset();
  EXPECT_DOUBLE_EQ(silent.At(100 * kSecond, scales_.fade_span), 1);
}

TEST_F(LatencyModelTest, RemainingWorkFallsWithTheTimeInFlight) {
  InFlightAttempts attempts;
  const Micros now = 100 * kSecond;
  EXPECT_DOUBLE_EQ(model_.RemainingWork(attempts, Slowness(), now), 0);
  attempts.Add({.id = 1, .class_index = kAnyRead, .sent = now - 40 * kMs});
  attempts.Add({.id = 2, .class_index = kAnyRead, .sent = now - 500 * kMs});
  EXPECT_DOUBLE_EQ(model_.RemainingWork(attempts, Slowness(), now), 60 * kMs);
}

}  // namespace
}  // namespace tulipyoke::estimates

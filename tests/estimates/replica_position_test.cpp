// Tests of replication positions and the apply rate.
#include "src/estimates/replica_position.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::estimates {
namespace {

constexpr Micros kNow = 100 * kSecond;
constexpr Micros kDecayTime = 400 * kMs;

ReplicaPosition Observed(Micros now, Micros position) {
  ReplicaPosition result;
  result.Observe(now, position, PositionKind::kExact, now, kMs);
  return result;
}

// Guards against a replica that is considered fresh because of an impossible position.
TEST(ReplicaPosition, ImpossibleAndOlderPositionsAreIgnored) {
  ReplicaPosition position;
  EXPECT_FALSE(position.known());
  position.Observe(kNow, -5, PositionKind::kExact, kNow, kMs);
  position.Observe(kNow, kNow + 1, PositionKind::kExact, kNow, kMs);
  EXPECT_FALSE(position.known());
  position.Observe(kNow, kNow - 10, PositionKind::kExact, kNow, kMs);
  position.Observe(kNow, kNow - 20, PositionKind::kExact, kNow, kMs);
  EXPECT_EQ(position.value(), kNow - 10);
}

TEST(ReplicaPosition, OnlyAnExactPositionUpdatesTheObservationTime) {
  ReplicaPosition position = Observed(kNow, kNow - 10);
  position.Observe(kNow + 5, kNow - 10, PositionKind::kRounded, kNow + 5, kMs);
  EXPECT_EQ(position.observed_at(), kNow);
  position.Observe(kNow + 5, kNow - 10, PositionKind::kExact, kNow + 5, kMs);
  EXPECT_EQ(position.observed_at(), kNow + 5);
}

TEST(ReplicaPosition, PredictedWaitDecreasesAsTimePasses) {
  const ReplicaPosition position = Observed(kNow, kNow - 100 * kMs);
  EXPECT_DOUBLE_EQ(position.PredictedWait(kNow - 100 * kMs, kNow, kDecayTime), 0);
  EXPECT_DOUBLE_EQ(position.PredictedWait(kNow, kNow, kDecayTime), 100 * kMs);
  EXPECT_DOUBLE_EQ(position.PredictedWait(kNow, kNow + 60 * kMs, kDecayTime), 40 * kMs);
  EXPECT_DOUBLE_EQ(position.PredictedWait(kNow, kNow + kSecond, kDecayTime), 0);
}

// Guards against a replica that once stopped applying and is never selected again.
TEST(ReplicaPosition, ApplyRateDecaysToOneWithoutObservations) {
  ReplicaPosition position = Observed(kNow, kNow - kSecond);
  const Micros later = kNow + 100 * kMs;
  position.Observe(later, kNow - 950 * kMs, PositionKind::kExact, later, kMs);  // at half the rate
  const Micros needed = kNow - 850 * kMs;
  EXPECT_DOUBLE_EQ(position.PredictedWait(needed, later, kDecayTime), 200 * kMs);
  EXPECT_LT(position.PredictedWait(needed, later + 60 * kMs, kDecayTime), 130 * kMs);
  position.ResetApplyRate();
  EXPECT_DOUBLE_EQ(position.PredictedWait(needed, later, kDecayTime), 100 * kMs);
}

TEST(ReplicaPosition, LagRefersToTheObservationTime) {
  EXPECT_EQ(ReplicaPosition().ObservedLag(0), 0);
  EXPECT_EQ(Observed(kNow, kNow - 30 * kMs).ObservedLag(0), 30 * kMs);
  EXPECT_EQ(Observed(kNow, kNow - 30 * kMs).ObservedLag(10 * kMs), 20 * kMs);
}

}  // namespace
}  // namespace tulipyoke::estimates

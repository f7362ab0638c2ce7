// Tests of the ejection of outliers and of the backoff.
#include "src/limits/ejection.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

class EjectionTest : public testing::Test {
 protected:
  bool Eject(Micros now, EjectionReason reason = EjectionReason::kSlow) {
    return ejection_.Eject(now, reason, scales_, random_);
  }

  const estimates::TimeScales scales_{estimates::Normalized(TestSettings())};
  estimates::Random random_{1};
  Ejection ejection_;
  const Micros now_ = 100 * kSecond;
};

TEST_F(EjectionTest, FailureEjectsAndStartsBackoff) {
  EXPECT_FALSE(ejection_.ejected());
  EXPECT_TRUE(Eject(now_));
  EXPECT_TRUE(ejection_.ejected());
  EXPECT_TRUE(ejection_.InBackoff(now_));
  EXPECT_FALSE(ejection_.InBackoff(now_ + 75 * kMs));
}

// Guards against a trial that is postponed again and again by the failures of attempts sent before the
// ejection.
TEST_F(EjectionTest, OnlyAFailedTrialRenewsTheEjection) {
  Eject(now_);
  EXPECT_FALSE(Eject(now_ + kMs));
  EXPECT_EQ(ejection_.last_ejected(), now_);
  EXPECT_TRUE(Eject(now_ + 100 * kMs));
  EXPECT_EQ(ejection_.last_ejected(), now_ + 100 * kMs);
}

TEST_F(EjectionTest, BackoffDoublesUpToTheLongestObjective) {
  Micros longest = 0;
  for (int i = 0; i < 10; ++i) {
    ejection_.StartBackoff(now_, scales_, random_);
    EXPECT_GE(ejection_.backoff(), longest);
    longest = ejection_.backoff();
  }
  EXPECT_EQ(longest, 400 * kMs);
  EXPECT_FALSE(ejection_.ejected());
  ejection_.OnResponse(now_, kSecond);
  EXPECT_EQ(ejection_.backoff(), 0);
}

TEST_F(EjectionTest, ServerUnreachableForLongMayHaveRestarted) {
  Eject(now_, EjectionReason::kUnreachable);
  EXPECT_FALSE(ejection_.OnResponse(now_ + kSecond, kSecond));
  EXPECT_TRUE(ejection_.OnResponse(now_ + kSecond + 1, kSecond));
  ejection_.Reinstate();
  EXPECT_FALSE(ejection_.ejected());
  Eject(now_, EjectionReason::kSlow);
  EXPECT_FALSE(ejection_.OnResponse(now_ + 9 * kSecond, kSecond));
}

TEST_F(EjectionTest, RestartAfterTheFailureReinstates) {
  Eject(now_);
  ejection_.OnRestart(now_ - kSecond);
  EXPECT_TRUE(ejection_.ejected());
  EXPECT_FALSE(ejection_.InBackoff(now_));
  ejection_.OnRestart(now_ + kSecond);
  EXPECT_FALSE(ejection_.ejected());
}

}  // namespace
}  // namespace tulipyoke::limits

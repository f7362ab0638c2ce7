// Unit tests of OutlierDetection.
#include "src/policy/outlier_detection.hpp"

#include <gtest/gtest.h>

#include "tests/policy/policy_fixture.hpp"

namespace tulipyoke::policy {
namespace {

using OutlierDetectionTest = PolicyTest;

TEST_F(OutlierDetectionTest, ResetsEjectAServerWhenMostAttemptsFail) {
  OutlierDetection outliers(context_, checks_);
  endpoints::Server& server = table_.At(2);
  AttemptEnded reset;
  reset.status = Status::kReset;
  endpoints::EventScope scope{kNow, actions_};
  int resets = 0;
  for (; !server.ejection.ejected() && resets < 20; ++resets) {
    outliers.ObserveAttempt(server, {.id = 1, .class_index = kAnyRead, .sent = kNow}, reset, scope);
  }
  EXPECT_EQ(resets, 4);  // 1 - 0.8^4 is the first failure share above one half
  AttemptEnded answer;
  outliers.ObserveAttempt(server, {.id = 2, .class_index = kAnyRead, .sent = kNow}, answer, scope);
  EXPECT_FALSE(server.ejection.ejected());
}

TEST_F(OutlierDetectionTest, LateTimeoutEjectsOnlyWithoutAResponseSinceTheSend) {
  OutlierDetection outliers(context_, checks_);
  AttemptEnded timeout;
  timeout.status = Status::kTimeout;
  timeout.elapsed = 30 * kMs;  // the client's deadline was short
  endpoints::EventScope scope{kNow, actions_};
  const estimates::InFlightAttempt attempt{.id = 1, .class_index = kAnyRead, .sent = kNow - 390 * kMs};
  outliers.ObserveAttempt(table_.At(2), attempt, timeout, scope);
  EXPECT_FALSE(table_.At(2).ejection.ejected());
  timeout.elapsed = 390 * kMs;
  table_.At(3).last_response = kNow - 10 * kMs;
  outliers.ObserveAttempt(table_.At(3), attempt, timeout, scope);
  EXPECT_FALSE(table_.At(3).ejection.ejected());
  outliers.ObserveAttempt(table_.At(2), attempt, timeout, scope);
  EXPECT_TRUE(table_.At(2).ejection.ejected());
  EXPECT_EQ(ActionsOfType<CheckHealth>(actions_).size(), 1u);
}

TEST_F(OutlierDetectionTest, FailedHealthCheckEjectsUnlessTheServerWasOverloaded) {
  OutlierDetection outliers(context_, checks_);
  endpoints::EventScope scope{kNow, actions_};
  outliers.ObserveHealthCheck(table_.At(2), Status::kOverloaded, scope);
  EXPECT_FALSE(table_.At(2).ejection.ejected());
  outliers.ObserveHealthCheck(table_.At(2), Status::kTimeout, scope);
  EXPECT_TRUE(table_.At(2).ejection.ejected());
  outliers.ObserveHealthCheck(table_.At(2), Status::kOk, scope);
  EXPECT_EQ(table_.At(2).health_check.succeeded, kNow);
  EXPECT_TRUE(table_.At(2).ejection.ejected());  // until the server responds to an attempt
}

}  // namespace
}  // namespace tulipyoke::policy

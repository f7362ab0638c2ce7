// Which reads are shed, and which of these the primary serves.
#include "src/policy/admission.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "src/policy/outlier_detection.hpp"
#include "src/policy/replica_selector.hpp"
#include "src/policy/slow_start.hpp"
#include "tests/scene.hpp"

namespace tulipyoke::policy {
namespace {

constexpr Micros kNow = 100 * kSecond;

// A context with the primary 1 and the replicas 2 and 3, all warm.
class PolicyTest : public testing::Test {
 protected:
  PolicyTest() {
    endpoints::EventScope scope{kNow, actions_};
    table_.Apply({EndpointListKind::kCached, 1, {Ready(1, true), Ready(2), Ready(3)}}, checks_, scope);
  }
  static Request ReadOf(int class_index) {
    return {.id = 1, .class_index = class_index, .arrived = kNow, .deadline = kNow + kSecond};
  }
  void Show(ServerId id, Micros lag) {
    table_.At(id).position.Observe(kNow, kNow - lag, estimates::PositionKind::kExact, kNow, kMs);
  }

  endpoints::RoutingContext context_{TestSettings(), 1};
  endpoints::HealthChecks checks_{context_};
  endpoints::EndpointTable table_{context_};
  std::vector<Action> actions_;
};

using AdmissionTest = PolicyTest;
using ReplicaSelectorTest = PolicyTest;
using SlowStartTest = PolicyTest;
using OutlierDetectionTest = PolicyTest;

TEST_F(AdmissionTest, NothingIsShedWhileAnswersAreInTime) {
  Admission admission(context_, table_);
  EXPECT_TRUE(admission.IsCalm(0, kNow));
  for (int i = 0; i < 50; ++i) {
    Request read = ReadOf(kAnyRead);
    read.priority = 1;
    EXPECT_FALSE(admission.Sheds(read, kNow));
  }
}

// Guards against a read that is drawn for again and again until it is shed.
TEST_F(AdmissionTest, AReadIsDecidedOnce) {
  Admission admission(context_, table_);
  Request read = ReadOf(kAnyRead);
  EXPECT_FALSE(admission.Sheds(read, kNow));
  for (int i = 0; i < 30; ++i) table_.GroupAt(0).admission.Observe(kNow + i, kSecond, kMs, false);
  EXPECT_FALSE(admission.IsCalm(0, kNow));
  EXPECT_FALSE(admission.Sheds(read, kNow));
  int shed = 0;
  for (int i = 0; i < 50; ++i) {
    Request other = ReadOf(kAnyRead);
    shed += admission.Sheds(other, kNow);
  }
  EXPECT_GT(shed, 20);
  EXPECT_LT(shed, 50);
}

TEST_F(AdmissionTest, ALateRetryHasTheLateWeight) {
  Admission admission(context_, table_);
  for (int i = 0; i < 10; ++i) EXPECT_DOUBLE_EQ(admission.PriorityOf(kKeyedWrite, kSecond), 1);
  EXPECT_DOUBLE_EQ(admission.PriorityOf(kKeyedWrite, 500 * kMs), 0.5);
}

TEST_F(AdmissionTest, AReplicaWithinTheBoundIsSeen) {
  const Admission admission(context_, table_);
  Show(1, 0);  // the primary does not count
  Show(2, 2 * kSecond);
  EXPECT_FALSE(admission.ReplicaWithinBound(ReadOf(kBoundedRead), kNow));
  Show(3, 1500 * kMs);  // the bound of 500 ms and a deadline of 1 s
  EXPECT_TRUE(admission.ReplicaWithinBound(ReadOf(kBoundedRead), kNow));
}

TEST_F(AdmissionTest, HeadroomIsGrantedAgainToAReadThatAskedThePrimary) {
  Admission admission(context_, table_);
  Request read = ReadOf(kAnyRead);
  read.queue_checks = 1;
  read.queue_checked = 1;
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(admission.GrantsHeadroom(read, kNow));
  int granted = 0;
  for (int i = 0; i < 400; ++i) granted += admission.GrantsHeadroom(ReadOf(kAnyRead), kNow);
  EXPECT_NEAR(granted, 200, 60);
}

TEST_F(ReplicaSelectorTest, TheReplicaWithLessWorkIsChosen) {
  SlowStart slow_start(context_, table_);
  ReplicaSelector selector(context_, table_, slow_start);
  table_.At(2).in_flight.Add({.id = 9, .class_index = kAnyRead, .sent = kNow});
  const Request read = ReadOf(kAnyRead);
  EXPECT_EQ(selector.ChooseReplica(read, kNow + kSecond, kNow), table_.Find(3));
  EXPECT_EQ(selector.ChoosePrimary(read, kNow), table_.Find(1));
}

TEST_F(ReplicaSelectorTest, AServerThatFailedForTheReadIsPassedOver) {
  SlowStart slow_start(context_, table_);
  ReplicaSelector selector(context_, table_, slow_start);
  Request read = ReadOf(kAnyRead);
  read.failed_at = {2};
  EXPECT_EQ(selector.ChooseReplica(read, kNow + kSecond, kNow), table_.Find(3));
  read.failed_at = {2, 3};
  EXPECT_EQ(selector.ChooseReplica(read, kNow + kSecond, kNow), nullptr);
  EXPECT_FALSE(selector.NoReplicaLeft(0));
  table_.At(2).open = table_.At(3).open = false;
  EXPECT_TRUE(selector.NoReplicaLeft(0));
}

TEST_F(ReplicaSelectorTest, WithoutGuardsOnlyAShownPositionIsFreshEnough) {
  SlowStart slow_start(context_, table_);
  const ReplicaSelector selector(context_, table_, slow_start);
  const Micros needed = selector.NeededPosition(ReadOf(kBoundedRead), kNow);
  EXPECT_EQ(needed, kNow - 500 * kMs);
  EXPECT_EQ(selector.NeededPosition(ReadOf(kAnyRead), kNow), estimates::kNoPosition);
  Show(2, 600 * kMs);
  Show(3, 400 * kMs);
  EXPECT_FALSE(selector.IsFreshEnough(table_.At(2), needed, kNow));
  EXPECT_TRUE(selector.IsFreshEnough(table_.At(3), needed, kNow));
  EXPECT_DOUBLE_EQ(selector.PredictedWait(table_.At(2), needed, kNow), 100 * kMs);
}

TEST_F(ReplicaSelectorTest, AQueueThatLeavesNoTimeIsPassedOver) {
  SlowStart slow_start(context_, table_);
  ReplicaSelector selector(context_, table_, slow_start);
  table_.At(2).queue.Observe(kNow, 20);
  table_.At(3).queue.Observe(kNow, 20);
  EXPECT_EQ(selector.ChooseReplica(ReadOf(kAnyRead), kNow + kSecond, kNow), nullptr);
  EXPECT_NE(selector.ChooseReplica(ReadOf(kAnyRead), kNow + 3 * kSecond, kNow), nullptr);
}

TEST_F(SlowStartTest, AWarmServerIsNotLimitedAndANewOneIs) {
  SlowStart slow_start(context_, table_);
  endpoints::Server& server = table_.At(2);
  for (int i = 0; i < 20; ++i) slow_start.NoteSend(server, kAnyRead, kNow);
  EXPECT_TRUE(slow_start.Admits(server, kAnyRead, kNow));
  server.slow_start_from = kNow;
  EXPECT_TRUE(slow_start.Admits(server, kAnyRead, kNow));
  slow_start.NoteSend(server, kAnyRead, kNow);
  EXPECT_FALSE(slow_start.Admits(server, kAnyRead, kNow));
}

TEST_F(OutlierDetectionTest, ResetsEjectAServerThatFailsMoreThanHalf) {
  OutlierDetection outliers(context_, checks_);
  endpoints::Server& server = table_.At(2);
  AttemptEnded reset;
  reset.status = Status::kReset;
  endpoints::EventScope scope{kNow, actions_};
  int resets = 0;
  for (; !server.ejection.ejected() && resets < 20; ++resets) {
    outliers.ObserveAttempt(server, {.id = 1, .class_index = kAnyRead, .sent = kNow}, reset, scope);
  }
  EXPECT_EQ(resets, 4);  // 1 - 0.8^4 is the first share over a half
  AttemptEnded answer;
  outliers.ObserveAttempt(server, {.id = 2, .class_index = kAnyRead, .sent = kNow}, answer, scope);
  EXPECT_FALSE(server.ejection.ejected());
}

TEST_F(OutlierDetectionTest, OnlyALateTimeoutWithoutAnAnswerSinceEjects) {
  OutlierDetection outliers(context_, checks_);
  AttemptEnded timeout;
  timeout.status = Status::kTimeout;
  timeout.elapsed = 30 * kMs;  // the client had no more time
  endpoints::EventScope scope{kNow, actions_};
  const estimates::InFlightAttempt attempt{.id = 1, .class_index = kAnyRead, .sent = kNow - 390 * kMs};
  outliers.ObserveAttempt(table_.At(2), attempt, timeout, scope);
  EXPECT_FALSE(table_.At(2).ejection.ejected());
  timeout.elapsed = 390 * kMs;
  table_.At(3).last_answer = kNow - 10 * kMs;
  outliers.ObserveAttempt(table_.At(3), attempt, timeout, scope);
  EXPECT_FALSE(table_.At(3).ejection.ejected());
  outliers.ObserveAttempt(table_.At(2), attempt, timeout, scope);
  EXPECT_TRUE(table_.At(2).ejection.ejected());
  EXPECT_EQ(Only<CheckHealth>(actions_).size(), 1u);
}

TEST_F(OutlierDetectionTest, AFailedHealthCheckEjectsUnlessItWasRejected) {
  OutlierDetection outliers(context_, checks_);
  endpoints::EventScope scope{kNow, actions_};
  outliers.ObserveHealthCheck(table_.At(2), Status::kOverloaded, scope);
  EXPECT_FALSE(table_.At(2).ejection.ejected());
  outliers.ObserveHealthCheck(table_.At(2), Status::kTimeout, scope);
  EXPECT_TRUE(table_.At(2).ejection.ejected());
  outliers.ObserveHealthCheck(table_.At(2), Status::kOk, scope);
  EXPECT_EQ(table_.At(2).health_check.succeeded, kNow);
  EXPECT_TRUE(table_.At(2).ejection.ejected());  // until an attempt is answered
}

}  // namespace
}  // namespace tulipyoke::policy

// Tests which reads are shed and which of those may use the primary.
#include "src/policy/admission.hpp"

#include <gtest/gtest.h>

#include "tests/policy/policy_fixture.hpp"

namespace tulipyoke::policy {
namespace {

using AdmissionTest = PolicyTest;

TEST_F(AdmissionTest, NoReadIsShedWhileResponsesAreInTime) {
  Admission admission(context_, table_);
  EXPECT_TRUE(admission.AdmitsAllReads(0, kNow));
  for (int i = 0; i < 50; ++i) {
    Request read = MakeRead(kAnyRead);
    read.priority = 1;
    EXPECT_FALSE(admission.ShouldShed(read, kNow));
  }
}

// Guards against drawing the random decision repeatedly for a parked read until it is shed.
TEST_F(AdmissionTest, AdmissionIsDecidedOncePerRead) {
  Admission admission(context_, table_);
  Request read = MakeRead(kAnyRead);
  EXPECT_FALSE(admission.ShouldShed(read, kNow));
  for (int i = 0; i < 30; ++i) table_.GroupAt(0).admission.Observe(kNow + i, kSecond, kMs, false);
  EXPECT_FALSE(admission.AdmitsAllReads(0, kNow));
  EXPECT_FALSE(admission.ShouldShed(read, kNow));
  int shed = 0;
  for (int i = 0; i < 50; ++i) {
    Request other = MakeRead(kAnyRead);
    shed += admission.ShouldShed(other, kNow);
  }
  EXPECT_GT(shed, 20);
  EXPECT_LT(shed, 50);
}

TEST_F(AdmissionTest, LateRetryHasTheLateWeight) {
  Admission admission(context_, table_);
  for (int i = 0; i < 10; ++i) EXPECT_DOUBLE_EQ(admission.PriorityOf(kKeyedWrite, kSecond), 1);
  EXPECT_DOUBLE_EQ(admission.PriorityOf(kKeyedWrite, 500 * kMs), 0.5);
}

TEST_F(AdmissionTest, ReplicaWithinTheStalenessBoundIsFound) {
  const Admission admission(context_, table_);
  ObserveLag(1, 0);  // the primary is not a replica
  ObserveLag(2, 2 * kSecond);
  EXPECT_FALSE(admission.HasReplicaWithinBound(MakeRead(kBoundedRead), kNow));
  ObserveLag(3, 1500 * kMs);  // just within the bound of 500 ms plus the longest deadline of 1 s
  EXPECT_TRUE(admission.HasReplicaWithinBound(MakeRead(kBoundedRead), kNow));
}

TEST_F(AdmissionTest, ReadThatCheckedThePrimaryQueueMayUseHeadroom) {
  Admission admission(context_, table_);
  Request read = MakeRead(kAnyRead);
  read.queue_checks = 1;
  read.queue_check_server = 1;
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(admission.MayUseHeadroom(read, kNow));
  int granted = 0;
  for (int i = 0; i < 400; ++i) granted += admission.MayUseHeadroom(MakeRead(kAnyRead), kNow);
  EXPECT_NEAR(granted, 200, 60);
}

}  // namespace
}  // namespace tulipyoke::policy

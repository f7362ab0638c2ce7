// Which reads are shed, and which of these the primary serves.
#include "src/policy/admission.hpp"

#include <gtest/gtest.h>

#include "tests/policy/policy_fixture.hpp"

namespace tulipyoke::policy {
namespace {

using AdmissionTest = PolicyTest;

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

}  // namespace
}  // namespace tulipyoke::policy

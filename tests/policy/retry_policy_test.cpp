// What may be sent again or rejected, by class and by what has happened to the request.
#include "src/policy/retry_policy.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::policy {
namespace {

class RetryPolicyTest : public testing::Test {
 protected:
  Request RequestOf(int class_index) const {
    return {.id = 1, .class_index = class_index, .arrived = now_, .deadline = now_ + kSecond};
  }
  Request FailedRequestOf(int class_index) {
    Request request = RequestOf(class_index);
    request.attempts = 1;
    policy_.NoteFailure(request, Status::kReset, now_);
    return request;
  }

  const Micros now_ = 100 * kSecond;
  const endpoints::RoutingContext context_{TestSettings(), 1};
  RetryPolicy policy_{context_};
};

TEST_F(RetryPolicyTest, WhatMayHaveRunIsRepeatedByItsClass) {
  EXPECT_TRUE(policy_.MayAttempt(FailedRequestOf(kAnyRead), now_));
  EXPECT_FALSE(policy_.MayAttempt(FailedRequestOf(kNonIdempotentWrite), now_));
  const Request keyed = FailedRequestOf(kKeyedWrite);
  EXPECT_TRUE(policy_.MayAttempt(keyed, now_));
  EXPECT_FALSE(policy_.MayAttempt(keyed, now_ + 598 * kMs));  // the window, less two ticks of the clock
}

TEST_F(RetryPolicyTest, WhatNeverRanIsRepeatedInAnyClass) {
  for (const Status status :
       {Status::kOverloaded, Status::kConnectFailed, Status::kNotSent, Status::kStaleOrWrongRole}) {
    Request request = RequestOf(kNonIdempotentWrite);
    policy_.NoteFailure(request, status, now_);
    EXPECT_TRUE(policy_.MayAttempt(request, now_));
    EXPECT_TRUE(policy_.MayReject(request));
  }
}

TEST_F(RetryPolicyTest, AttemptsAreCounted) {
  Request request = RequestOf(kAnyRead);
  request.attempts = 9;
  EXPECT_TRUE(policy_.MayAttempt(request, now_));
  request.attempts = 10;
  EXPECT_FALSE(policy_.MayAttempt(request, now_));
}

TEST_F(RetryPolicyTest, OnlyWhatIsHarmlessToRepeatIsRejected) {
  EXPECT_TRUE(policy_.MayReject(FailedRequestOf(kAnyRead)));
  EXPECT_FALSE(policy_.MayReject(FailedRequestOf(kKeyedWrite)));  // other routers do not know its key
  EXPECT_FALSE(policy_.MayReject(FailedRequestOf(kNonIdempotentWrite)));
  Request in_flight = RequestOf(kNonIdempotentWrite);
  EXPECT_TRUE(policy_.MayReject(in_flight));
  in_flight.in_flight = 1;
  EXPECT_FALSE(policy_.MayReject(in_flight));
}

// A read is worth nothing after its objective of 400 ms, a write until its deadline; each needs its usual
// time of 100 ms. What was not sent by half its time, less a check interval, is rejected.
TEST_F(RetryPolicyTest, WaitingEndsWhenAnAnswerCannotComeInTime) {
  Request read = RequestOf(kAnyRead);
  EXPECT_EQ(policy_.LastUseful(read), now_ + 300 * kMs);
  Request write = RequestOf(kKeyedWrite);
  EXPECT_EQ(policy_.LastUseful(write), now_ + 450 * kMs);
  write.attempts = 1;
  EXPECT_EQ(policy_.LastUseful(write), now_ + 900 * kMs);
}

TEST_F(RetryPolicyTest, RetriesKeepToTheirBudget) {
  EXPECT_TRUE(policy_.TakeRetry(Status::kError));
  EXPECT_TRUE(policy_.TakeRetry(Status::kReset));
  EXPECT_FALSE(policy_.TakeRetry(Status::kError));  // two fifths each, of one
  EXPECT_TRUE(policy_.TakeRetry(Status::kStaleOrWrongRole));
  for (int i = 0; i < 4; ++i) policy_.Refill();  // a fifth each
  EXPECT_TRUE(policy_.TakeRetry(Status::kOverloaded));
  EXPECT_FALSE(policy_.TakeRetry(Status::kTimeout));
}

}  // namespace
}  // namespace tulipyoke::policy

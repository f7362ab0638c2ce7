// Unit tests of RetryPolicy: which requests may be retried or rejected, by class and earlier outcome.
#include "src/policy/retry_policy.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::policy {
namespace {

class RetryPolicyTest : public testing::Test {
 protected:
  Request MakeRequest(int class_index) const {
    return {.id = 1, .class_index = class_index, .arrived = now_, .deadline = now_ + kSecond};
  }
  Request MakeFailedRequest(int class_index) {
    Request request = MakeRequest(class_index);
    request.attempts = 1;
    policy_.RecordFailure(request, Status::kReset, now_);
    return request;
  }

  const Micros now_ = 100 * kSecond;
  const endpoints::RoutingContext context_{TestSettings(), 1};
  RetryPolicy policy_{context_};
};

TEST_F(RetryPolicyTest, RetryAfterPossibleExecutionDependsOnTheClass) {
  EXPECT_TRUE(policy_.MayAttempt(MakeFailedRequest(kAnyRead), now_));
  EXPECT_FALSE(policy_.MayAttempt(MakeFailedRequest(kNonIdempotentWrite), now_));
  const Request keyed = MakeFailedRequest(kKeyedWrite);
  EXPECT_TRUE(policy_.MayAttempt(keyed, now_));
  EXPECT_FALSE(policy_.MayAttempt(keyed, now_ + 598 * kMs));  // the window minus two clock resolutions
}

TEST_F(RetryPolicyTest, RequestThatWasNotExecutedIsRetriedInAnyClass) {
  for (const Status status :
       {Status::kOverloaded, Status::kConnectFailed, Status::kNotSent, Status::kStaleOrWrongRole}) {
    Request request = MakeRequest(kNonIdempotentWrite);
    policy_.RecordFailure(request, status, now_);
    EXPECT_TRUE(policy_.MayAttempt(request, now_));
    EXPECT_TRUE(policy_.MayReject(request));
  }
}

TEST_F(RetryPolicyTest, AttemptsAreLimited) {
  Request request = MakeRequest(kAnyRead);
  request.attempts = 9;
  EXPECT_TRUE(policy_.MayAttempt(request, now_));
  request.attempts = 10;
  EXPECT_FALSE(policy_.MayAttempt(request, now_));
}

TEST_F(RetryPolicyTest, OnlyRequestsThatAreSafeToRepeatAreRejected) {
  EXPECT_TRUE(policy_.MayReject(MakeFailedRequest(kAnyRead)));
  EXPECT_FALSE(policy_.MayReject(MakeFailedRequest(kKeyedWrite)));  // other routers do not know the key
  EXPECT_FALSE(policy_.MayReject(MakeFailedRequest(kNonIdempotentWrite)));
  Request in_flight = MakeRequest(kNonIdempotentWrite);
  EXPECT_TRUE(policy_.MayReject(in_flight));
  in_flight.in_flight = 1;
  EXPECT_FALSE(policy_.MayReject(in_flight));
}

// A read has no value after its objective of 400 ms, a write has value until its deadline; each has a usual
// time of 100 ms. A request that has not been sent by half of its time, minus a check interval, is rejected.
TEST_F(RetryPolicyTest, WaitingEndsWhenAResponseCannotBeInTime) {
  Request read = MakeRequest(kAnyRead);
  EXPECT_EQ(policy_.LatestSendTime(read), now_ + 300 * kMs);
  Request write = MakeRequest(kKeyedWrite);
  EXPECT_EQ(policy_.LatestSendTime(write), now_ + 450 * kMs);
  write.attempts = 1;
  EXPECT_EQ(policy_.LatestSendTime(write), now_ + 900 * kMs);
}

TEST_F(RetryPolicyTest, RetriesAreLimitedByTheBudget) {
  EXPECT_TRUE(policy_.TryTakeRetry(Status::kError));
  EXPECT_TRUE(policy_.TryTakeRetry(Status::kReset));
  EXPECT_FALSE(policy_.TryTakeRetry(Status::kError));  // 2/5 each, from a budget of 1
  EXPECT_TRUE(policy_.TryTakeRetry(Status::kStaleOrWrongRole));
  for (int i = 0; i < 4; ++i) policy_.Refill();  // adds 1/5 each
  EXPECT_TRUE(policy_.TryTakeRetry(Status::kOverloaded));
  EXPECT_FALSE(policy_.TryTakeRetry(Status::kTimeout));
}

}  // namespace
}  // namespace tulipyoke::policy

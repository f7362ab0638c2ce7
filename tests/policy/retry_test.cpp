// Tests which requests are retried after a failure, and which are rejected or failed.
#include <gtest/gtest.h>

#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

struct RetryCase {
  int class_index;
  Status status;
  bool resent;
  bool rejectable;  // may be rejected after this outcome
};
class RetryByStatusTest : public testing::TestWithParam<RetryCase> {};

TEST_P(RetryByStatusTest, RetriesAndRejectsOnlyWhereAllowed) {
  const RetryCase& c = GetParam();
  RouterHarness harness;
  ReportPositions(harness);
  const auto to = *SentTo(harness.Arrive(1, c.class_index), 1);
  harness.Advance(5 * kMs);
  std::vector<Action> actions = harness.EndAttempt(1, to, c.status);
  const auto more = harness.Advance(kSecond / 20);
  actions.insert(actions.end(), more.begin(), more.end());
  // An ejected server is used again only after a health check.
  const auto after_check = harness.ReportHealthCheck(1, 0, true);
  actions.insert(actions.end(), after_check.begin(), after_check.end());
  const auto rest = harness.Advance(kSecond / 4);
  actions.insert(actions.end(), rest.begin(), rest.end());
  EXPECT_EQ(SentTo(actions, 1).has_value(), c.resent);
  EXPECT_TRUE(c.rejectable || !HasReject(actions, 1));
  EXPECT_TRUE(c.resent || HasReject(actions, 1) || HasFail(actions, 1));
}
INSTANTIATE_TEST_SUITE_P(All, RetryByStatusTest,
                         testing::Values(RetryCase{kAnyRead, Status::kOverloaded, true, true},
                                         RetryCase{kAnyRead, Status::kReset, true, true},
                                         RetryCase{kAnyRead, Status::kError, true, true},
                                         RetryCase{kKeyedWrite, Status::kConnectFailed, true, true},
                                         RetryCase{kKeyedWrite, Status::kReset, true, false},
                                         RetryCase{kKeyedWrite, Status::kError, true, false},
                                         RetryCase{kNonIdempotentWrite, Status::kOverloaded, true, true},
                                         RetryCase{kNonIdempotentWrite, Status::kConnectFailed, true, true},
                                         RetryCase{kNonIdempotentWrite, Status::kReset, false, false},
                                         RetryCase{kNonIdempotentWrite, Status::kError, false, false},
                                         RetryCase{kNonIdempotentWrite, Status::kTimeout, false, false},
                                         RetryCase{kNonIdempotentWrite, Status::kCancelled, false, false}));

TEST(Retry, KeyedWriteIsNotRetriedAfterItsWindow) {
  RouterHarness harness;
  ReportPositions(harness);
  harness.Arrive(1, kKeyedWrite);
  harness.Advance(650 * kMs);  // the window is 600 ms from the first send
  const auto actions = harness.EndAttempt(1, 1, Status::kReset);
  EXPECT_FALSE(SentTo(actions, 1));
  EXPECT_TRUE(HasFail(actions, 1));
}

TEST(Retry, UnsentAttemptEndsTheRequest) {
  RouterHarness harness;
  const auto to = *SentTo(harness.Arrive(1, kAnyRead), 1);
  EXPECT_TRUE(HasReject(harness.EndAttempt(1, to, Status::kNotSent), 1));
}

TEST(Retry, RequestIsAnsweredOnceByItsOwnDeadline) {
  RouterHarness harness;
  harness.Arrive(1, kAnyRead, 0, 300 * kMs);  // shorter than the class's deadline
  const auto actions = harness.Advance(310 * kMs);
  EXPECT_EQ(ActionsOfType<Reject>(actions).size() + ActionsOfType<Fail>(actions).size(), 1u);
  EXPECT_TRUE(ActionsOfType<Reject>(harness.Advance(kSecond)).empty());
}

}  // namespace
}  // namespace tulipyoke

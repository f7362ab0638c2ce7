#include <gtest/gtest.h>

#include <variant>

#include "tests/dispatch/dispatcher_harness.hpp"

namespace tulipyoke {
namespace {

// Guards against a request, submitted before or after the drain deadline was set, that has no response by the
// deadline.
TEST(DrainDeadline, EveryRequestIsAnsweredByTheDrainDeadline) {
  DispatcherHarness harness;
  const RequestId before = harness.Submit(kKeyedWrite, 5 * kSecond);
  harness.dispatcher.SetDrainDeadline(harness.now + 700 * kMs);
  harness.Advance(300 * kMs);
  const RequestId after = harness.Submit(kKeyedWrite, 5 * kSecond);
  ASSERT_EQ(harness.attempts.size(), 2u);
  EXPECT_EQ(harness.attempts[1].deadline, harness.now + 400 * kMs);
  EXPECT_TRUE(harness.responses[before].empty());
  harness.Advance(401 * kMs);
  EXPECT_EQ(harness.responses[before].size(), 1u);
  EXPECT_EQ(harness.responses[after].size(), 1u);
  EXPECT_EQ(harness.dispatcher.in_progress(), 0u);
  EXPECT_EQ(harness.dispatcher.counters().overdue, 0u);
}

// Guards against a parked request that fails at the drain deadline although it was never sent and its client
// could retry elsewhere, and against rejecting a request that may have been executed, which would tell its
// client that a retry is safe.
TEST(DrainDeadline, AnUnsentRequestIsRejectedAtTheDrainDeadline) {
  DispatcherHarness harness;
  const RequestId in_flight = harness.Submit(kNonIdempotentWrite, 5 * kSecond);
  ASSERT_EQ(harness.attempts.size(), 1u);
  harness.dispatcher.OperationWritten(harness.attempts[0].operation_id);
  ListedServer draining = DispatcherHarness::ReadyServer("p");
  draining.state = ServerState::kDraining;
  harness.dispatcher.UpdateEndpoints(harness.now, EndpointList{8, false, {draining}});
  const RequestId parked = harness.Submit(kNonIdempotentWrite, 5 * kSecond);
  EXPECT_EQ(harness.attempts.size(), 1u);
  harness.dispatcher.SetDrainDeadline(harness.now + 700 * kMs);
  harness.Advance(701 * kMs);
  ASSERT_EQ(harness.responses[in_flight].size(), 1u);
  EXPECT_TRUE(std::holds_alternative<FailedResponse>(harness.responses[in_flight][0]));
  ASSERT_EQ(harness.responses[parked].size(), 1u);
  EXPECT_TRUE(std::holds_alternative<RejectedResponse>(harness.responses[parked][0]));
  EXPECT_EQ(harness.dispatcher.counters().overdue, 0u);
}

}  // namespace
}  // namespace tulipyoke

// Tests how updates of the endpoint list affect routing.
#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(EndpointList, DrainingAndGoneServersGetNoNewRequests) {
  for (const ServerState state : {ServerState::kDraining, ServerState::kGone}) {
    RouterHarness harness;
    EndpointEntry e = ReadyEntry(2);
    e.state = state;
    harness.UpdateList(EndpointListKind::kDelta, {e});
    for (RequestId id = 1; id < 9; ++id) EXPECT_EQ(SentTo(harness.Arrive(id, kAnyRead), id), 3u);
  }
}

TEST(EndpointList, ServerAbsentFromAFullListIsGoneAndThePrimaryServesReads) {
  RouterHarness harness;
  harness.UpdateList(EndpointListKind::kFull, {ReadyEntry(1, true)});
  EXPECT_EQ(SentTo(harness.Arrive(1, kAnyRead), 1), 1u);
}

TEST(EndpointList, EmptyGroupRejectsWithinTheDeadline) {
  RouterHarness harness;
  harness.UpdateList(EndpointListKind::kFull, {});
  harness.Arrive(1, kAnyRead);
  harness.Arrive(2, kNonIdempotentWrite);
  const auto actions = harness.Advance(kSecond);
  EXPECT_TRUE(HasReject(actions, 1));
  EXPECT_TRUE(HasReject(actions, 2));
}

// A list can be wrong: with use_gone_servers, servers that it marks as gone or omits stay in use.
TEST(EndpointList, GoneServersAreUsedWhenSettingsAllowIt) {
  Settings s = TestSettings();
  s.use_gone_servers = true;
  RouterHarness harness(s);
  EndpointEntry gone = ReadyEntry(2);
  gone.state = ServerState::kGone;
  EndpointEntry draining = ReadyEntry(3);
  draining.state = ServerState::kDraining;
  harness.UpdateList(EndpointListKind::kDelta, {gone, draining});
  EXPECT_EQ(SentTo(harness.Arrive(1, kAnyRead), 1), 2u);
  harness.UpdateList(EndpointListKind::kFull, {});
  EXPECT_EQ(SentTo(harness.Arrive(2, kAnyRead), 2), 2u);
  EXPECT_EQ(SentTo(harness.Arrive(3, kNonIdempotentWrite), 3), 1u);
}

TEST(EndpointList, ListIsRequestedAgainAfterAFailure) {
  Settings s = TestSettings();
  s.poll_endpoint_list = true;
  s.max_list_age = 4 * kSecond;
  RouterHarness harness(s);
  EXPECT_FALSE(ActionsOfType<WatchEndpointList>(harness.Advance(100 * kMs)).empty());
  harness.UpdateList(EndpointListKind::kFailed, {});
  EXPECT_FALSE(ActionsOfType<WatchEndpointList>(harness.Advance(500 * kMs)).empty());
  EXPECT_FALSE(ActionsOfType<WatchEndpointList>(harness.Advance(4 * kSecond)).empty());
  RouterHarness pushed_list;
  EXPECT_TRUE(ActionsOfType<WatchEndpointList>(pushed_list.Advance(kSecond)).empty());
}

// Guards against memory that grows with every server ever listed. A server that was gone for long is
// forgotten: if its id comes back, its position must be observed again. Health checks of it stop as well.
TEST(EndpointList, ServerGoneForLongIsForgotten) {
  RouterHarness harness;
  harness.Arrive(1, kKeyedWrite, 5);
  harness.EndAttempt(1, 1, Status::kOk, Role::kPrimary, harness.now_ms() - 1);
  harness.ReportHealthCheck(2, 0);
  harness.Arrive(2, kSessionRead, 5);
  harness.EndAttempt(2, 2, Status::kOk, Role::kReplica, harness.now_ms());
  harness.FailHealthCheck(2);  // ejects the server
  harness.FailHealthCheck(2);
  EndpointEntry gone = ReadyEntry(2), other = ReadyEntry(3);
  gone.state = other.state = ServerState::kGone;
  harness.UpdateList(EndpointListKind::kDelta, {gone, other});
  for (const CheckHealth& check : ActionsOfType<CheckHealth>(harness.Advance(60 * kSecond)))
    EXPECT_NE(check.server, 2u);
  harness.UpdateList(EndpointListKind::kDelta, {ReadyEntry(2)});
  EXPECT_FALSE(SentTo(harness.Arrive(3, kSessionRead, 5), 3));
  EXPECT_EQ(SentTo(harness.ReportHealthCheck(2, 0), 3), 2u);
}

// Guards against clients exhausting the memory with requests to groups that were never listed.
TEST(EndpointList, RequestToAnUnlistedGroupIsRejectedAtOnce) {
  RouterHarness harness;
  RequestArrived e;
  e.id = 1;
  e.group = 77;
  e.remaining = kSecond;
  EXPECT_EQ(ActionsOfType<Reject>(harness.Handle(e)).size(), 1u);
}

}  // namespace
}  // namespace tulipyoke

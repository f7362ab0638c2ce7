// Updates of the endpoint list.
#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(EndpointList, DrainingAndGoneGetNothingNew) {
  for (const ServerState state : {ServerState::kDraining, ServerState::kGone}) {
    RouterHarness scene;
    EndpointEntry e = ReadyEntry(2);
    e.state = state;
    scene.UpdateList(EndpointListKind::kDelta, {e});
    for (RequestId id = 1; id < 9; ++id) EXPECT_EQ(SentTo(scene.Arrive(id, kAnyRead), id), 3u);
  }
}

TEST(EndpointList, AbsentFromAFullListIsGoneAndTheLastMemberServesAll) {
  RouterHarness scene;
  scene.UpdateList(EndpointListKind::kFull, {ReadyEntry(1, true)});
  EXPECT_EQ(SentTo(scene.Arrive(1, kAnyRead), 1), 1u);
}

TEST(EndpointList, AnEmptyGroupRejectsInTime) {
  RouterHarness scene;
  scene.UpdateList(EndpointListKind::kFull, {});
  scene.Arrive(1, kAnyRead);
  scene.Arrive(2, kNonIdempotentWrite);
  const auto actions = scene.Advance(kSecond);
  EXPECT_TRUE(HasReject(actions, 1));
  EXPECT_TRUE(HasReject(actions, 2));
}

// A list can be wrong: where only draining binds, servers it calls gone or leaves out go on being used.
TEST(EndpointList, WhereOnlyDrainingBindsGoneServersAreStillUsed) {
  Settings s = TestSettings();
  s.use_gone_servers = true;
  RouterHarness scene(s);
  EndpointEntry gone = ReadyEntry(2);
  gone.state = ServerState::kGone;
  EndpointEntry drains = ReadyEntry(3);
  drains.state = ServerState::kDraining;
  scene.UpdateList(EndpointListKind::kDelta, {gone, drains});
  EXPECT_EQ(SentTo(scene.Arrive(1, kAnyRead), 1), 2u);
  scene.UpdateList(EndpointListKind::kFull, {});
  EXPECT_EQ(SentTo(scene.Arrive(2, kAnyRead), 2), 2u);
  EXPECT_EQ(SentTo(scene.Arrive(3, kNonIdempotentWrite), 3), 1u);
}

TEST(EndpointList, AskedForAgainWhenTheCallFails) {
  Settings s = TestSettings();
  s.poll_endpoint_list = true;
  s.max_list_age = 4 * kSecond;
  RouterHarness scene(s);
  EXPECT_FALSE(ActionsOfType<WatchEndpointList>(scene.Advance(100 * kMs)).empty());
  scene.UpdateList(EndpointListKind::kFailed, {});
  EXPECT_FALSE(ActionsOfType<WatchEndpointList>(scene.Advance(500 * kMs)).empty());
  EXPECT_FALSE(ActionsOfType<WatchEndpointList>(scene.Advance(4 * kSecond)).empty());
  RouterHarness push;
  EXPECT_TRUE(ActionsOfType<WatchEndpointList>(push.Advance(kSecond)).empty());
}

// Guards against memory that grows with every server that ever was: what is gone for long leaves no trace, so
// that one that comes back under its id has to show its position anew. Nor is it asked for ever how it is.
TEST(EndpointList, AServerThatLeftLongAgoIsDropped) {
  RouterHarness s;
  s.Arrive(1, kKeyedWrite, 5);
  s.EndAttempt(1, 1, Status::kOk, Role::kPrimary, s.now_ms() - 1);
  s.ReportHealthCheck(2, 0);
  s.Arrive(2, kSessionRead, 5);
  s.EndAttempt(2, 2, Status::kOk, Role::kReplica, s.now_ms());
  s.FailHealthCheck(2);  // ejected from then on
  s.FailHealthCheck(2);
  EndpointEntry gone = ReadyEntry(2), other = ReadyEntry(3);
  gone.state = other.state = ServerState::kGone;
  s.UpdateList(EndpointListKind::kDelta, {gone, other});
  for (const CheckHealth& probe : ActionsOfType<CheckHealth>(s.Advance(60 * kSecond)))
    EXPECT_NE(probe.server, 2u);
  s.UpdateList(EndpointListKind::kDelta, {ReadyEntry(2)});
  EXPECT_FALSE(SentTo(s.Arrive(3, kSessionRead, 5), 3));
  EXPECT_EQ(SentTo(s.ReportHealthCheck(2, 0), 3), 2u);
}

// Guards against clients filling the memory with groups that nobody ever listed.
TEST(EndpointList, AGroupThatWasNeverListedIsRejectedAtOnce) {
  RouterHarness s;
  RequestArrived e;
  e.id = 1;
  e.group = 77;
  e.remaining = kSecond;
  EXPECT_EQ(ActionsOfType<Reject>(s.Handle(e)).size(), 1u);
}

}  // namespace
}  // namespace tulipyoke

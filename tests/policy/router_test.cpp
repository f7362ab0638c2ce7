// Events that are unusual, and settings that are empty.
#include <gtest/gtest.h>

#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(UnusualEvents, UnknownIdsAndClassesAreHandled) {
  RouterHarness scene;
  EXPECT_TRUE(ActionsOfType<Send>(scene.EndAttempt(99, 1, Status::kReset, Role::kUnknown, {}, 0)).empty());
  scene.EndAttempt(99, 12345, Status::kOk, Role::kPrimary, 5, 0);
  scene.Handle(RequestCancelled{99});
  scene.Handle(TimerFired{99});
  scene.Handle(ResponseStarted{99, 0, 1});
  scene.Handle(PeerMessage{3, "x"});
  scene.FailHealthCheck(12345);
  RequestArrived e;
  e.id = 5;
  e.class_index = 42;
  EXPECT_TRUE(HasReject(scene.Handle(e), 5));
  EXPECT_TRUE(HasReject(scene.Arrive(6, kAnyRead, 0, 0), 6));
}

TEST(UnusualEvents, EmptySettingsStillAnswer) {
  Settings s;
  s.classes.emplace_back();
  Router router(s, 1);
  std::vector<Action> actions;
  router.handle(0, EndpointListUpdate{}, actions);
  router.handle(0, RequestArrived{.id = 1}, actions);
  EXPECT_TRUE(HasReject(actions, 1));
}

}  // namespace
}  // namespace tulipyoke

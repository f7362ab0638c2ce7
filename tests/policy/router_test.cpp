// Tests unexpected events and empty settings.
#include <gtest/gtest.h>

#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(UnusualEvents, UnknownIdsAndClassesAreHandled) {
  RouterHarness harness;
  EXPECT_TRUE(ActionsOfType<Send>(harness.EndAttempt(99, 1, Status::kReset, Role::kUnknown, {}, 0)).empty());
  harness.EndAttempt(99, 12345, Status::kOk, Role::kPrimary, 5, 0);
  harness.Handle(RequestCancelled{99});
  harness.Handle(TimerFired{99});
  harness.Handle(ResponseStarted{99, 0, 1});
  harness.Handle(PeerMessage{3, "x"});
  harness.FailHealthCheck(12345);
  RequestArrived e;
  e.id = 5;
  e.class_index = 42;
  EXPECT_TRUE(HasReject(harness.Handle(e), 5));
  EXPECT_TRUE(HasReject(harness.Arrive(6, kAnyRead, 0, 0), 6));
}

TEST(UnusualEvents, EmptySettingsRejectRequests) {
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

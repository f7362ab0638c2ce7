// Tests the state that decides whether a process accepts clients.
#include "src/serving_state/serving_state.hpp"

#include <gtest/gtest.h>

namespace tulipyoke::net {
namespace {

// A process taken out of service stops being ready at once, continues to serve for a while, and can return to
// service.
TEST(ServingState, DrainsWhenTakenOutOfServiceAndCanReturn) {
  ServingState serving_state;
  EXPECT_FALSE(serving_state.ready());
  serving_state.Start();
  EXPECT_TRUE(serving_state.ready());
  serving_state.TakeOutOfService(1'000'000);
  serving_state.TakeOutOfService(9'000'000);  // repeating the command has no effect
  EXPECT_FALSE(serving_state.ready());
  EXPECT_TRUE(serving_state.draining());
  EXPECT_FALSE(serving_state.ShouldCloseIdle(1'400'000, 0));
  EXPECT_TRUE(serving_state.ShouldCloseIdle(1'500'000, 1'400'000));
  EXPECT_FALSE(serving_state.ShouldReject(2'600'000));
  EXPECT_TRUE(serving_state.ShouldReject(2'700'000));
  EXPECT_TRUE(serving_state.ReturnToService());
  EXPECT_TRUE(serving_state.ReturnToService());
  EXPECT_TRUE(serving_state.ready());
  EXPECT_FALSE(serving_state.draining());
  EXPECT_FALSE(serving_state.ShouldReject(9'000'000));
}

TEST(ServingState, StopIsFinalAndRejectsNothing) {
  ServingState serving_state;
  serving_state.Start();
  serving_state.Stop(1'000'000);
  serving_state.TakeOutOfService(2'000'000);
  EXPECT_FALSE(serving_state.ReturnToService());
  EXPECT_FALSE(serving_state.ready());
  EXPECT_TRUE(serving_state.DrainWindowElapsed(1'500'000));
  EXPECT_FALSE(serving_state.ShouldReject(9'000'000));  // requests still get a response
}

// After a handover the router as a whole still accepts clients. The older process serves again only if the
// newer one is lost, and not if it was told to stop itself.
TEST(ServingState, HandedOverAcceptsClientsAndTakesBackUnlessStopped) {
  ServingState serving_state;
  serving_state.Start();
  serving_state.HandOver(1'000'000);
  EXPECT_FALSE(serving_state.ready());
  EXPECT_TRUE(serving_state.router_accepts_clients());
  EXPECT_TRUE(serving_state.draining());
  EXPECT_FALSE(serving_state.ShouldCloseIdle(2'000'000, 1'000'000));
  EXPECT_TRUE(serving_state.ShouldCloseIdle(2'600'000, 1'000'000));
  serving_state.TakeBack(3'000'000);
  EXPECT_TRUE(serving_state.ready());
  serving_state.HandOver(4'000'000);
  serving_state.Stop(5'000'000);
  EXPECT_TRUE(serving_state.router_accepts_clients());
  serving_state.TakeBack(6'000'000);
  EXPECT_FALSE(serving_state.router_accepts_clients());
  EXPECT_FALSE(serving_state.ReturnToService());
}

// An operator's command before the start is not overridden by the start.
TEST(ServingState, StartDoesNotReturnItToService) {
  ServingState serving_state;
  serving_state.TakeOutOfService(1);
  serving_state.Start();
  EXPECT_FALSE(serving_state.ready());
}

}  // namespace
}  // namespace tulipyoke::net

// The state that says whether a process takes clients.
#include "src/serving_state/serving_state.hpp"

#include <gtest/gtest.h>

namespace tulipyoke::net {
namespace {

// Out of service, it is not ready at once, serves on for a while, and can return to service.
TEST(ServingState, DrainsOutOfServiceAndReturns) {
  ServingState service;
  EXPECT_FALSE(service.ready());
  service.Start();
  EXPECT_TRUE(service.ready());
  service.TakeOutOfService(1'000'000);
  service.TakeOutOfService(9'000'000);  // a repetition changes nothing
  EXPECT_FALSE(service.ready());
  EXPECT_TRUE(service.draining());
  EXPECT_FALSE(service.ShouldCloseIdle(1'400'000, 0));
  EXPECT_TRUE(service.ShouldCloseIdle(1'500'000, 1'400'000));
  EXPECT_FALSE(service.ShouldReject(2'600'000));
  EXPECT_TRUE(service.ShouldReject(2'700'000));
  EXPECT_TRUE(service.ReturnToService());
  EXPECT_TRUE(service.ReturnToService());
  EXPECT_TRUE(service.ready());
  EXPECT_FALSE(service.draining());
  EXPECT_FALSE(service.ShouldReject(9'000'000));
}

TEST(ServingState, StopIsFinalAndRejectsNothing) {
  ServingState service;
  service.Start();
  service.Stop(1'000'000);
  service.TakeOutOfService(2'000'000);
  EXPECT_FALSE(service.ReturnToService());
  EXPECT_FALSE(service.ready());
  EXPECT_TRUE(service.DrainWindowElapsed(1'500'000));
  EXPECT_FALSE(service.ShouldReject(9'000'000));  // each request is still answered
}

// Handed over, the router as a whole still accepts clients; only a loss of the newer process makes the older
// one serve again, unless it was stopped.
TEST(ServingState, HandedOverAcceptsClientsAndTakesBackUnlessStopped) {
  ServingState service;
  service.Start();
  service.HandOver(1'000'000);
  EXPECT_FALSE(service.ready());
  EXPECT_TRUE(service.router_accepts_clients());
  EXPECT_TRUE(service.draining());
  EXPECT_FALSE(service.ShouldCloseIdle(2'000'000, 1'000'000));
  EXPECT_TRUE(service.ShouldCloseIdle(2'600'000, 1'000'000));
  service.TakeBack(3'000'000);
  EXPECT_TRUE(service.ready());
  service.HandOver(4'000'000);
  service.Stop(5'000'000);
  EXPECT_TRUE(service.router_accepts_clients());
  service.TakeBack(6'000'000);
  EXPECT_FALSE(service.router_accepts_clients());
  EXPECT_FALSE(service.ReturnToService());
}

// An operator's call before the start is not overridden by the start.
TEST(ServingState, TakenOutBeforeStartStaysOut) {
  ServingState service;
  service.TakeOutOfService(1);
  service.Start();
  EXPECT_FALSE(service.ready());
}

}  // namespace
}  // namespace tulipyoke::net

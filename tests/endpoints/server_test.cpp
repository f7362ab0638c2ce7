// Tests of the state of one server.
#include "src/endpoints/server.hpp"

#include <gtest/gtest.h>

#include "tests/endpoints/endpoint_fixture.hpp"

namespace tulipyoke::endpoints {
namespace {

using ServerTest = EndpointFixture;

TEST_F(ServerTest, NewBootTimeResetsEstimates) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1), ReadyEntry(2)});
  Server& server = table_.At(2);
  server.latency_ratio.Observe(now_, context_.scales, 5);
  server.failures.Observe(now_, true, kSecond);
  EndpointEntry restarted = ReadyEntry(2);
  restarted.boot_time = now_ + 1;
  Apply(EndpointListKind::kDelta, {restarted});
  EXPECT_DOUBLE_EQ(server.latency_ratio.At(now_, kSecond), 1);
  EXPECT_DOUBLE_EQ(server.failures.At(now_, kSecond), 0);
  EXPECT_EQ(server.slow_start_from, now_ + 1);
}

TEST_F(ServerTest, EjectedServerAdmitsOneTrialAfterACheck) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1)});
  Server& server = table_.At(1);
  EXPECT_TRUE(server.AdmitsTrial(true));
  server.ejection.Eject(now_, limits::EjectionReason::kSlow, context_.scales, context_.random);
  EXPECT_FALSE(server.AdmitsTrial(true));
  EXPECT_TRUE(server.AdmitsTrial(false));  // if health checks are not allowed
  server.health_check.succeeded = now_;
  EXPECT_TRUE(server.AdmitsTrial(true));
  server.in_flight.Add({.id = 1, .sent = now_});
  EXPECT_FALSE(server.AdmitsTrial(true));
}

}  // namespace
}  // namespace tulipyoke::endpoints

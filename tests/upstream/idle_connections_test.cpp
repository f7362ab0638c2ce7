// Tests that connections are not used once they have been idle for too long.
#include <gtest/gtest.h>

#include <string>

#include "src/upstream/idle_policy.hpp"
#include "tests/dispatch/router_harness.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

constexpr Micros kNow = 1'000'000'000;

TEST(IdlePolicy, AConnectionIsUsableForAFractionOfTheServerTimeout) {
  EXPECT_EQ(IdlePolicy(30'000'000).IdleSinceCutoff(kNow), kNow - 18'000'000);
  EXPECT_EQ(IdlePolicy(0).IdleSinceCutoff(kNow), kNow);
}

TEST(IdlePolicy, TheCheckIntervalIsBounded) {
  EXPECT_EQ(IdlePolicy(30'000'000).CheckInterval(), 500'000);
  EXPECT_EQ(IdlePolicy(1'000'000).CheckInterval(), 200'000);
  EXPECT_EQ(IdlePolicy(10).CheckInterval(), 10'000);
}

// Guards against using a connection that expired since the last maintenance run: the server may close it
// while the query is sent.
TEST(UpstreamPoolIdle, AnExpiredConnectionIsNotUsed) {
  ManualServer server;
  RouterHarness harness(RouterHarness::SingleClassSettings(Idempotency::kNone), 10);
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId first = harness.Submit("first");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  server.CompleteStartup(0);
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "first"); }));
  server.Send(0, Row("v"));
  ASSERT_TRUE(harness.RunUntil([&] { return harness.IsServed(first); }));
  const Micros served_at = harness.clock.Now();
  harness.RunUntil([&] { return harness.clock.Now() > served_at + 10'000; });
  harness.Submit("second");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  server.CompleteStartup(1);
  EXPECT_TRUE(harness.RunUntil([&] { return server.Received(1, "second"); }));
  server.ReadAvailable(0);
  EXPECT_EQ(server.received[0].find("second"), std::string::npos);
}

}  // namespace
}  // namespace tulipyoke::net

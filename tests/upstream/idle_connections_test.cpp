// Idle connections that are too old to be used.
#include <gtest/gtest.h>

#include <string>

#include "src/upstream/idle_policy.hpp"
#include "tests/rig.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

constexpr Micros kNow = 1'000'000'000;

TEST(IdlePolicy, AConnectionIsUsableForAPartOfTheServersTimeout) {
  EXPECT_EQ(IdlePolicy(30'000'000).OldestUsable(kNow), kNow - 18'000'000);
  EXPECT_EQ(IdlePolicy(0).OldestUsable(kNow), kNow);
}

TEST(IdlePolicy, ChecksAreNeitherTooRareNorTooFrequent) {
  EXPECT_EQ(IdlePolicy(30'000'000).CheckInterval(), 500'000);
  EXPECT_EQ(IdlePolicy(1'000'000).CheckInterval(), 200'000);
  EXPECT_EQ(IdlePolicy(10).CheckInterval(), 10'000);
}

// Guards against maintenance that runs less often than connections expire: the one that is selected may have
// expired, and its close crosses the query.
TEST(UpstreamPoolIdle, AnExpiredConnectionIsNotUsed) {
  HeldServer server;
  Rig rig(Rig::OneClass(Effect::kUnsafe), 10);
  rig.Know({Rig::Listed("a", server.port())});
  const RequestId first = rig.Ask("first");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  server.Greet(0);
  ASSERT_TRUE(rig.Until([&] { return server.Got(0, "first"); }));
  server.Say(0, Row("v"));
  ASSERT_TRUE(rig.Until([&] { return rig.Served(first); }));
  const Micros then = rig.clock.Now();
  rig.Until([&] { return rig.clock.Now() > then + 10'000; });
  rig.Ask("second");
  ASSERT_TRUE(rig.Until([&] { return server.Came(); }));
  server.Greet(1);
  EXPECT_TRUE(rig.Until([&] { return server.Got(1, "second"); }));
  server.Drain(0);
  EXPECT_EQ(server.got[0].find("second"), std::string::npos);
}

}  // namespace
}  // namespace tulipyoke::net
